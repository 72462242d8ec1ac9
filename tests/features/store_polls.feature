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

  Scenario Outline: A poll is held long only while rows and store are beyond doubt
    Given the conditions of a calm fleet of 72 nodes, but with <name> <value>
    Then polls are held <kind>

    Examples: A calm fleet, small ones, missing confirmations, a store that was lost or is silent, no regular calls
      | name            | value | kind       |
      | nodes           | 72    | long       |
      | nodes           | 49    | short      |
      | nodes           | 13    | short      |
      | confirmed_age   | 3.1   | short      |
      | confirmed_age   | inf   | short      |
      | confirmed_age   | nan   | short      |
      | peer_age        | 5.1   | short      |
      | peer_age        | nan   | short      |
      | store_reachable | 0     | short      |
      | answer_age      | 3.0   | short      |
      | streak_seconds  | 2.6   | short      |

  Scenario Outline: A held poll ends when rows or store are in doubt
    Given the conditions of a calm fleet of 72 nodes, but with nodes 72
    When the poll is held, and <name> becomes <value>
    Then it ends with the reason "<reason>", and the next poll is answered at once

    Examples:
      | name            | value | reason       |
      | confirmed_age   | 3.1   | unconfirmed  |
      | confirmed_age   | nan   | unconfirmed  |
      | store_reachable | 0     | store_lost   |
      | answer_age      | 3.0   | store_silent |

  Scenario: A held poll that brings no answer ends when a peer has had newer rows for 1 s
    Given the conditions of a calm fleet of 72 nodes, but with nodes 72
    When the poll is held, and a peer has newer rows
    Then it goes on for 0.9 s and then ends, unless the store has answered

  Scenario: A digest with newer rows of either table is noted by a node that lacks them
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    When "east-1" gets a digest with newer rows of both tables
    Then its polls of both tables end if the store does not answer

  Scenario: A peer whose rows never match costs two calls in 10 s
    Given the conditions of a calm fleet of 72 nodes, but with nodes 72
    When a peer says for 60 s that it has newer rows, and the store knows of none
    Then at most 32 polls are sent

  Scenario: A calm fleet polls half as often, and a small one as before
    Given 36 nodes in region "east" and 36 in region "west", which also follow members
    And half of them renew leases
    Then in 42 s all nodes together poll at most 1008 times
    And no configuration was unconfirmed for 4 s

  Scenario: A small fleet polls as before
    Given 7 nodes in region "east" and 6 in region "west", which also follow members
    And half of them renew leases
    Then in 12 s no poll is held for more than 3 s

  Scenario: Nodes whose connections died learn a change from peers, and members from the store
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the connections of "east-0 and west-0 and west-1" die without a reset
    And configuration 11 adds a route
    And the row of "east-9" is deleted
    Then all nodes have configuration 11 within 2.5 s
    And all nodes know that "east-9" is gone within 3.5 s

  Scenario: An owner whose held poll died learns of a departure once peers know of it
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the connections of "east-1 and west-1" die without a reset
    And the row of "east-9" is deleted
    Then all nodes know that "east-9" is gone within 2.5 s

  Scenario: An owner whose held polls died, and who reaches no peers, is behind no longer than with short polls
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the connections of "east-1" die without a reset
    And "east-1" reaches no peers
    And configuration 11 adds a route
    And the row of "east-9" is deleted
    Then all nodes have configuration 11 within 3.7 s
    And all nodes know that "east-9" is gone within 3.7 s

  Scenario: An owner to whom the store falls silent knows it although peers confirm its rows
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the store falls silent to "east-1"
    Then "east-1" knows within 3.7 s that it is lost

  Scenario: A node that is cut off polls briefly, and is up to date soon after
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    When "east-0" loses its connections and peers, and the store is silent to it
    And configuration 11 adds a route
    Then after 8 s only "east-0" lacks configuration 11
    When "east-0" reaches the store again, but no peers
    Then all nodes have configuration 11 within 4 s

  Scenario: A store that falls silent is known to be lost as early as with short polls
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the store falls silent to all nodes
    Then each node knows within 3.7 s that it is lost
    When the store speaks again, and configuration 11 adds a route
    Then all nodes have configuration 11 within 4 s

  Scenario Outline: A change is in force soon after a restore of the store
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    And half of them renew leases
    When the store is restored from a copy, and <what> its former polls
    And configuration 11 adds a route
    Then all nodes have configuration 11 within 4 s

    Examples:
      | what    |
      | drops   |
      | answers |

  Scenario: A confirmation from the future is refused
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    When "east-1" tells all that its rows are confirmed for the next hour
    Then no node counts its rows as confirmed by peers for the future

  Scenario: Dropped history leads to complete reads only
    Given 30 nodes in region "east" and 30 in region "west", which also follow members
    When the store drops its history, and configuration 11 adds a route
    Then all nodes have configuration 11 within 2.5 s
