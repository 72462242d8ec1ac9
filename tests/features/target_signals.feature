Feature: What a target states about itself in its answers decides what it gets
  Guards against a target that names a rate limit, or says that it leaves, and goes on getting requests as before.

  Scenario Outline: A target that names a rate limit gets no more requests than it takes
    Given routers in one region and a service of 4 targets
    When the service gets 1.2 times what it can run for 20 s, and 2 targets name a limit of <rate> a second from 4 to 16 s
    Then from 4 s after the limit on no limited target gets more than it tolerates in any 4 s
    And the limited targets get at least 0.9 of what their limits allow
    And every request is answered or refused as not run

    Examples:
      | rate |
      | 0.5  |
      | 1    |
      | 1.9  |
      | 6.9  |

  Scenario: A target that says in its answers that it leaves gets no new requests
    Given routers in one region and a service of 4 targets
    When the service gets 0.6 times what it can run for 14 s, and 1 target says from 4 s on that it leaves
    Then the leaving target gets no request from 2.5 s after that on
    And every request is answered

  Scenario Outline: A target that leaves is not used again after a restart of its router
    Given 4 nodes whose targets hold keys
    When a target announces that it leaves in <way>, and its router <ends> and is started again
    Then the target holds no keys, and is no candidate although it reports itself ready
    When a new incarnation of the target starts
    Then the target holds keys again and is a candidate

    Examples:
      | way       | ends               |
      | a notice  | is killed          |
      | an answer | is killed          |
      | a notice  | stops as planned   |
      | an answer | stops as planned   |
      | an answer | stops as planned, once more just after its start |

  Scenario: The row of a node is removed when its router stops after the target has ended
    Given 4 nodes whose targets hold keys
    When a target announces that it leaves in a notice and ends, and its router stops as planned
    Then the store has no row of the node

  Scenario: A node that knows from an answer that a target leaves sends it nothing, whatever others believe
    Given 4 nodes whose targets hold keys
    When a node gets an answer of another node's target that says that the target leaves
    Then that target is no candidate at this node, until it is started anew

  Scenario: A gateway takes note of an answer that says that its target leaves
    Given a gateway with 8 nodes to choose from
    When a request is answered, and the answer says that the target leaves
    Then the gateway excludes the node that answered

  Scenario: The owner of a key that has left is not asked for it
    Given a gateway that knows an old owner of a key
    When an answer has said 2.1 s ago that the owner's target leaves, and a request for the key arrives
    Then it is refused at once as not run

  Scenario Outline: A router that was started beside a target with a limit asks before it sends more
    Given a router that was just started beside a target with 9 slots
    When 20 requests arrive at once, and the target answers each after 0.2 s with a limit of <rate> a second
    Then the target has got 1 request before its first answer
    And it gets at most <most> requests in the first 4 s

    Examples:
      | rate | most |
      | 0.5  | 3    |
      | 1    | 5    |
      | 3    | 15   |

  Scenario: A router whose target has no limit uses all slots after the first answer
    Given a router that was just started beside a target with 9 slots
    When 20 requests arrive at once, and the target answers each after 0.2 s without a limit
    Then the target has got 10 requests by its second answer

  Scenario Outline: No way to the target passes its rate limit
    Given a router beside a target with 9 slots and a limit of 3 a second
    When 12 requests <come> within 3 s
    Then the target gets at most 3 requests in any second, and at least 8 in 3 s

    Examples:
      | come                             |
      | arrive at once                   |
      | arrive with offered bodies       |
      | wait for keys that are granted   |
      | for keys that the target holds   |
      | arrive at a stopping router for keys that the target holds |

  Scenario: An answer from before a limit does not end it
    Given a router beside a target with 9 slots and no limit
    When 3 requests run, the first is answered with a limit of 2 a second and the others without
    Then the limit of 2 a second is in force
    When a request that was sent after that is answered without a limit
    Then no limit is in force

  Scenario Outline: A statement that cannot be read is logged and changes nothing
    Given a router beside a target with 9 slots and a limit of 3 a second
    When a request is answered with a limit of "<value>"
    Then the limit of 3 a second is in force
    And the log says what could not be read

    Examples:
      | value |
      | -1    |
      | nan   |
      | inf   |
      | fast  |
      | 3, 3  |

  Scenario Outline: A caller comes back when the target that refused it says
    Given a router beside a target with 9 slots and no limit
    When a request is refused by the target, to come back after "<stated>" s
    Then it is declined as not run, to come back after <told> s
    And the log <says> what could not be read

    Examples:
      | stated                        | told | says          |
      | 1.5                           | 1.5  | does not say  |
      | 0                             | 0.05 | does not say  |
      | soon                          | 0.05 | says          |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0.05 | says          |

  Scenario Outline: Requests go to the targets without a limit
    Given routers in one region and a service of <targets> targets
    When the service gets 0.8 times what its targets without a limit can run for 12 s, and <limited> targets name a limit of <rate> a second
    Then at least 0.95 of the requests that arrive from 2 s on are answered on time

    Examples:
      | targets | limited | rate |
      | 4       | 2       | 1    |
      | 4       | 2       | 5    |
      | 12      | 8       | 0.5  |
      | 12      | 6       | 2    |

  Scenario Outline: Of a service whose targets all have a limit the urgent requests are served first
    Given routers in one region and a service of 4 targets for urgent and for other requests
    When urgent requests take 0.7 and others 1.5 of what all targets accept with a limit of <rate> a second for 16 s
    Then from 2 s on at least 0.9 of the urgent ones are answered, and at least 0.9 of what the targets accept is used
    And half of the refusals take at most 0.1 s

    Examples:
      | rate |
      | 2    |
      | 5    |

  Scenario: The owner of keys whose target states a limit hands over what it cannot serve, and gets keys back
    Given 4 nodes whose targets hold keys
    When 40 requests a second come for all keys, and one target states a limit of 4 a second for 25 s
    Then the limited target is asked for at most 6 requests a second at the end
    And at most 0.3 of all keys have moved
    When the limit has ended 20 s ago
    Then that target is asked for at least 5 requests a second at the end

  Scenario: An owner that gets most keys of targets with a limit can be granted them
    Given 5 nodes whose targets hold keys
    When 60 requests a second come for all keys, and all targets but one state a limit of 2 a second for 40 s
    Then every key has a holder, and the target without a limit holds at least 0.3 of them
