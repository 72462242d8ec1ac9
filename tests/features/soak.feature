Feature: The soak keeps the promises on fixed seeds, and its checks notice broken ones

  Scenario Outline: A seed of the soak keeps the promises
    Then the soak keeps all promises on seed <seed>

    Examples:
      | seed |
      | 11   |
      | 22   |

  Scenario Outline: The checks notice <fault>
    Then the checks of the soak report "<fault>" and nothing else

    Examples:
      | fault                       |
      | ran 2 times                 |
      | said not to have run        |
      | wrong answer                |
      | answered without a run      |
      | answered after              |
      | two holders                 |
      | token of                    |
      | got 18 requests             |
      | reached a leaving target    |

  Scenario Outline: The checks notice a request that a planned stop cut <how>
    Then the checks of planned stops report "<report>" on a request that was cut <how>

    Examples:
      | how                              | report                 |
      | after a target ran it            | cut after it ran       |
      | behind another after it ran      | cut after it ran       |
      | 0.3 s after its router read it   | after it was sent and read |
      | 0.1 s after its router read it   | nothing                |
      | behind another                   | nothing                |
      | unread                           | nothing                |

  Scenario Outline: A request that ended without an answer <when> does not count as cut by a planned stop
    Then a request that ended without an answer <when> is not cut

    Examples:
      | when                                   |
      | before the planned stop                |
      | after the planned stop                 |
      | before it was sent                     |
      | at its deadline                        |
      | as its path asked for                  |
      | 3 s after the end of a fault of its VM |
      | 3 s after the end of a fault of the store, with a key |

  Scenario: Interim responses are no answers
    Then an interim response before an answer is not entered as the answer
