Feature: A planned stop cuts no request that has arrived
  Guards against requests that are cut off without an answer because they arrive as the process ends.

  Scenario Outline: What has arrived when a router ends its planned stop is answered
    Given a router at the end of its planned stop
    When a request arrives on <connection> as the router is about to end
    Then the request is refused as not run, and the router ends within 1 s

    Examples:
      | connection                        |
      | an open connection of a caller    |
      | a new connection of a caller      |
      | the connection of another node    |

  Scenario: A request that has arrived in part is awaited
    Given a router at the end of its planned stop
    When half of a request arrives as the router is about to end, and the other half 0.2 s later
    Then the request is refused as not run, and the router ends within 1 s

  Scenario Outline: A request on an open connection is served <until>
    Given a router in its planned stop, which knows a node to serve requests
    When 2.4 s after the signal <state>, and a request with 2 s arrives on an open connection
    Then the request is sent to the node, and the router does not end before it has answered

    Examples:
      | until                                                   | state                                        |
      | as long as the local target runs requests that may call | the local target still runs a request        |
      | although nothing is in flight when it arrives           | nothing is in flight                         |

  Scenario: A router does not end while a caller uses its connection
    Given a router in its planned stop, which knows a node to serve requests
    When 2.4 s after the signal a request on an open connection is answered each 0.2 s, 5 times
    Then the router ends only after the last of them, within 1.5 s

  Scenario: A response is not lost because its caller sends more before it has read the close
    Given a router in its planned stop, which knows a node to serve requests
    When a request is answered just before the router ends, and its caller sends another one meanwhile
    Then the caller reads the whole answer, and then the end of the connection

  Scenario: Answers to another node that does not read for a while are not dropped by the end of the process
    Given a router at the end of its planned stop
    When 4 answers of 4 MB are sent to another node, which reads nothing until 1.2 s after nothing more arrives
    Then the node gets all of them

  # Guards against answers that are lost in the kernel, since input after the close resets the connection.
  Scenario Outline: A caller that reads slowly, and sends more before it has read all, gets the whole answer <when>
    Given a router in its planned stop, which knows a node to serve requests
    When a caller reads an answer of 2.5 MB, given <when>, in 2 s, and sends another request after 1.7 s
    Then the caller has read the whole answer, and the router ends within 1.5 s

    Examples:
      | when                |
      | in the stop         |
      | before the signal   |

  # Guards against responses that are cut by the end of the process although the grace period is not over.
  Scenario: A response that its caller is still reading is not cut 0.4 s before the end of the grace period
    Given a router in its planned stop, which knows a node to serve requests
    When 5.5 s after the signal a caller begins to read an answer of 8 MB in 0.25 s
    Then the caller has read the whole answer, and the router ends within 0.5 s

  # Guards against responses that are admitted although the end of the process would cut them.
  Scenario Outline: A request for <size> bytes, while the link needs 3 s for earlier responses, is <taken>
    Given a router in its planned stop, which knows a node to serve requests
    When its route's answers have <size> bytes, and the link needs 3 s for one and those that wait
    And 1 s after the signal a request with 4 s arrives while the local target runs a request
    Then the request is <taken>

    Examples:
      | size   | taken                      |
      | 400    | sent with at most 4 s      |
      | 540000 | refused at once as not run |

  Scenario Outline: A request that comes <late> after the signal, with <time> s, is <taken>
    Given a router in its planned stop, which knows a node to serve requests
    When <late> s after the signal a request with <time> s arrives while the local target runs a request
    Then the request is <taken>

    Examples:
      | late | time | taken                                               |
      | 1.0  | 2    | sent with at most 2 s                               |
      | 3.0  | 4    | sent with at most 2.3 s                             |
      | 4.5  | 0.4  | sent with at most 0.4 s                             |
      | 4.5  | 4    | refused at once as not run                          |
      | 5.2  | 0.4  | refused at once as not run                          |

  Scenario: A request that its node does not answer in time is answered before the process ends
    Given a router in its planned stop, which knows a node to serve requests
    When 3.7 s after the signal a request with 4 s arrives while the local target runs a request
    Then the caller gets the status 504 within 2 s, before the router ends

  Scenario: A target is given no more time than is left until its stopping router ends
    Given a router that was just started beside a target with 6 slots
    When a request with 20 s is sent to the target of a router that has 0.9 s left for requests
    Then the target is told to stop work at most 0.9 s later

  Scenario: A request that takes longer than its stopping router has left is refused as not run, not sent to the target
    Given a router that was just started beside a target with 6 slots
    When a request with 20 s, of a class that takes 2 s, arrives at a router that has 0.9 s left for requests
    Then the target is not sent it, and it is declined as not run, as the router stops

  Scenario Outline: A request that its target was not sent when the router's time is over is refused as not run: <waits>
    Given a router that was just started beside a target with 1 slots
    When the time of the stopping router is over while a request runs and another <waits>
    Then the other is declined as not run before the router ends, and the first is still awaited

    Examples:
      | waits                |
      | waits for a slot     |
      | waits for its key    |
      | waits for its body   |

  Scenario: A request that was sent before the signal, and is not answered in time, is answered before the process ends
    Given a router in its planned stop, which knows a node to serve requests
    When a request with 9 s that was sent before the signal is unanswered 5.4 s after it
    Then the caller gets the status 504 within 0.3 s, before the router ends

  Scenario: A queued request that is cancelled after its target began to drain is not sent to it
    Given a router that was just started beside a target with 1 slots
    When a request runs and another waits for its slot, the target begins to drain, and the other is cancelled
    Then the target is not sent the other when the first is answered

  Scenario: No node sends the first request of a while to a router that has just ended
    Given a router in its planned stop that is connected to another node, which sends it nothing
    When 2.4 s after the signal nothing is in flight
    Then the other node is told that the router ends, at least 0.1 s before it does

  Scenario: A planned stop ends when nothing more arrives
    Given a router at the end of its planned stop
    Then the router ends within 1 s
