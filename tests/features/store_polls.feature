Feature: Large fleets ask the store less often, and learn changes as early as before

  Scenario Outline: A fleet that starts together ends the polls of its nodes a few times only
    Given <nodes> nodes that join within <seconds> s, and one that follows their rows
    Then it polls at most 10 times on average of 20 starts in its first 5 s
    And it knows each node at most 1.1 s after its row was written

    Examples: Five waits of the complete fleet and five of a small one; without an estimate 13.7 and 16.5 polls
      | nodes | seconds |
      | 72    | 3       |
      | 72    | 5       |

    Examples: Fleets that start faster or are larger
      | nodes | seconds |
      | 72    | 1       |
      | 200   | 3       |

  Scenario Outline: The wait after rows is that of the number of known nodes in a small or complete fleet
    Given a node that knows <known> nodes, of which <joined> joined <ago> s ago
    Then it waits <wait> s after an answer with rows

    Examples: A small fleet before and while nodes join; a departure from a fleet without arrivals; a large fleet
      | known | joined | ago | wait  |
      | 4     | 0      | 0   | 0.06  |
      | 1     | 1      | 0   | 0.195 |
      | 13    | 12     | 0   | 0.195 |
      | 40    | 0      | 0   | 0.6   |
      | 40    | 30     | 2.5 | 0.6   |
      | 72    | 0      | 0   | 1.0   |

    Examples: Nodes that join announce more, and the wait never exceeds that of a large fleet
      | known | joined | ago | wait |
      | 20    | 10     | 1   | 0.75 |
      | 20    | 19     | 0   | 1.0  |
      | 200   | 199    | 0   | 1.0  |
