Feature: Requests that were held up on their way between nodes
  Guards against work for callers that have left, and against requests declined as late that were in time.

  Scenario Outline: A request that arrives after its caller's deadline is not sent to its target, also as the first message of a process
    Given two nodes whose clocks differ by <offset> s and that have asked the store
    When the first request of one of them, with <left> s left, takes <transit> s to the other
    Then it is declined as late and not run, and its target gets nothing

    Examples:
      | offset | left | transit |
      | 0      | 0.9  | 1.6     |
      | 80000  | 0.9  | 1.0     |
      | -80000 | 0.2  | 0.3     |

  # A caller that leaves at once is known as gone only when its cancellation arrives, which takes as long.
  Scenario: A request that was long on its way is declined before its caller's deadline, also as the first message of a process
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the first request of one of them, with 5 s left, takes 0.47 s to the other
    Then it is declined as late and not run, and its target gets nothing

  Scenario Outline: A delayed request keeps no more time than its caller has left
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the first request of one of them, with <left> s left, takes <transit> s to the other
    Then its target is given at most <most> s, and at least 0.05 s less than that

    Examples:
      | left | transit | most |
      | 0.9  | 0.3     | 0.65 |
      | 5.0  | 0.35    | 4.7  |
      | 0.9  | 0.0     | 0.9  |

  Scenario Outline: A time that cannot be compared does not make a request late
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the receiver <has>
    And the first request of one of them, with 0.9 s left, takes 0.6 s to the other
    Then its target is given at most 0.9 s, and at least 0.05 s less than that

    Examples:
      | has                                                    |
      | has not asked the store since the store was restored   |
      | knows the store since it was restored with other times |
      | has just been started                                  |
      | has seen that the store's clock was set back           |

  Scenario Outline: A slow exchange with the store does not make a request late
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the <node> has only one exchange with the store, of 0.8 s
    And the first request of one of them, with 0.9 s left, takes 0 s to the other
    Then its target is given at most 0.9 s, and at least 0.05 s less than that

    Examples:
      | node     |
      | sender   |
      | receiver |

  # A process that starts while the links are full gets no answer of the store for seconds.
  Scenario Outline: A node that has not reached the store since its start learns the time from others
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the receiver has just been started, and a <kind> of a node that is in touch with the store arrives
    And the first request of one of them, with 0.9 s left, takes 1.4 s to the other
    Then it is declined as late and not run, and its target gets nothing

    Examples:
      | kind    |
      | forward |
      | ping    |

  Scenario: A time from another node that the own exchange with the store excludes does not make a request late
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the receiver is told a time on the store's clock that is 10 s ahead
    And the first request of one of them, with 0.9 s left, takes 0 s to the other
    Then its target is given at most 0.9 s, and at least 0.05 s less than that

  Scenario: No measured time in transit exceeds the true one, whatever the clocks and the store do
    Then 300 random schedules of exchanges and drifting clocks never give more than the true time

  Scenario: The log tells how late a cancellation arrived, and whether the target had been sent the request
    Given two nodes whose clocks differ by 500 s and that have asked the store
    When the first request of one of them, with 5 s left, takes 0.1 s to the other
    And its cancellation takes 0.3 s
    Then the log has a cancelled request that was sent, and a cancellation that took 0.25 to 0.3 s
