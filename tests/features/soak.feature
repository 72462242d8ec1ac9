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

  Scenario Outline: The checks notice a request without an answer <how>
    Then the checks of losses report "<report>" on a request without an answer <how>

    Examples:
      | how                                | report                         |
      | after a target ran it              | no answer though it ran on vm1 |
      | behind another after it ran        | no answer though it ran on vm1 |
      | after its router read it           | no answer though it was read   |
      | with a fault of the store, no key  | no answer though it ran on vm1 |
      | with a fault of another VM         | no answer though it ran on vm1 |
      | 4.1 s after a fault of its VM      | no answer though it ran on vm1 |
      | unread                             | nothing                        |
      | behind another                     | nothing                        |
      | before it was sent                 | nothing                        |
      | at its deadline                    | nothing                        |
      | at the timeout of its route        | nothing                        |
      | as its path asked for              | nothing                        |
      | in a planned stop                  | nothing                        |
      | 3.9 s after a fault of its VM      | nothing                        |
      | 3.9 s after a fault of its target  | nothing                        |
      | with a fault of the store, a key   | nothing                        |

  Scenario Outline: The checks notice a failure in place of a target's success <how>
    Then the checks of losses report "<report>" on a failure in place of a success <how>

    Examples:
      | how                                       | report                           |
      | by a stopping router                      | 502 in place of the success of i |
      | with status 504                           | 504 in place of the success of i |
      | in the last sixth, sent late              | 502 in place of the success of i |
      | without a planned stop                    | nothing                          |
      | by a router refusing it                   | nothing                          |
      | signed by a target                        | nothing                          |
      | after the run                             | nothing                          |
      | before the run                            | nothing                          |
      | without a success                         | nothing                          |
      | at its deadline                           | nothing                          |
      | in the last sixth, sent early             | nothing                          |
      | 3.9 s after a fault of its VM             | nothing                          |
      | 3.9 s after a fault of its target         | nothing                          |

  Scenario Outline: The checks notice a router that is silent <how>
    Then the checks of losses report "<report>" on a router that is silent <how>

    Examples:
      | how                                    | report                             |
      | to 8 of 8 requests                     | no answer in time to 8 of 8        |
      | to 8 of 15 late ones                   | no answer in time to 8 of 15       |
      | to 8 of 16 late ones                   | nothing                            |
      | to 7 requests                          | nothing                            |
      | to 8 requests around a fault of its VM | nothing                            |
      | to 8 callers that leave at 2.4 s       | nothing                            |

  Scenario: Interim responses are no answers
    Then an interim response before an answer is not entered as the answer

  Scenario Outline: The check of poison requests counts late runs that undisturbed VMs sent: <late>, <fault>
    Then <late> late runs of a poison request are reported <reported> times if <fault>

    Examples:
      | late | fault                                   | reported |
      | 4    | nothing is disturbed                    | 1        |
      | 3    | nothing is disturbed                    | 0        |
      | 4    | the sender is disturbed 3 s before one  | 0        |
      | 4    | the sender is disturbed 5 s before one  | 1        |
