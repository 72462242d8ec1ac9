Feature: An idle daemon wakes up only for periodic work, and reads the store at its interval

  Scenario Outline: A timer for work stops when the work is done
    Given a work timer of 10 ms whose callback gives "<results>"
    When the work timer is woken <times> times and 1 s passes
    Then the work timer has called back <calls> times

    Examples:
      | results            | times | calls |
      | done               | 1     | 1     |
      | done               | 3     | 1     |
      | more, more, done   | 1     | 3     |
      | more, error, done  | 2     | 3     |

  Scenario: Connections without waiting messages need no timer
    Given a peer transport in a loop
    Then the peer transport's loop has no timers
    When a control message is sent to an address where nobody listens
    Then the message is dropped and the loop has no timers again within 1 s

  Scenario: A request in the queue expires at its deadline although nothing else happens
    Given the request service of an idle daemon whose target has no free slot
    When a request with a timeout of 50 ms is queued
    Then the request ends with "deadline_exceeded" within 0.2 s and the loop has no timers

  Scenario: Reads out of turn do not add cycles of regular reads
    Given a daemon's membership that polls the table each 2 s
    When the membership is asked for 20 reads out of turn
    And 20 s pass for the membership
    Then the table has served between 28 and 33 reads

  Scenario: A read that is asked for during a read follows it
    Given a daemon's membership that polls the table each 2 s
    When a read is asked for while one is under way
    Then another read begins as soon as the first has ended

  Scenario Outline: The connection to an address that is no longer in use is closed
    Given a daemon's membership that polls the table each 2 s
    When the owner rows of node "a" give in turn "<addresses>"
    And 20 s pass for the membership
    Then the membership has closed the connections "<closed>"

    Examples:
      | addresses                   | closed        |
      | 10.0.0.1:1                  | none          |
      | 10.0.0.1:1, gone            | 10.0.0.1:1    |
      | 10.0.0.1:1, 10.0.0.2:1      | 10.0.0.1:1    |
      | 10.0.0.1:1, gone, 10.0.0.1:1 | none         |

  Scenario Outline: A drain begins at once although the handover service does not look for work when idle
    Given the handover service of a node with slices that has nothing to move
    When a drain becomes necessary by "<cause>"
    Then the handover service begins to drain within 10 ms

    Examples:
      | cause                  |
      | a revision             |
      | a row                  |
      | the loss of the target |
      | a planned stop         |

  Scenario Outline: A restarted daemon moves nothing that an earlier incarnation may still be serving
    Given the handover service of a node with slices that has nothing to move
    And the row of the node belongs to an earlier incarnation
    When a drain becomes necessary by "<cause>"
    Then the handover service moves nothing

    Examples:
      | cause                  |
      | a revision             |
      | a row                  |
      | the loss of the target |

  Scenario: Two requests in flight with one id are both counted and both ended
    Given the request service of an idle daemon whose target has no free slot
    When two requests with one id and a timeout of 50 ms are queued on a slice
    Then both end within 0.2 s and the slice is not busy

  Scenario: A daemon that has lost its lease ends its requests before it stops
    Given a daemon without a lease whose target runs a request
    When the daemon is stopped, and 2 s pass
    Then it ends only after the request has
