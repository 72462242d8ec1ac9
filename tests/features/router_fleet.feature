Feature: A large fleet with narrow links finds its way around what is full, and learns what was deleted
  Guards against a congested node that goes on being chosen, and beliefs that outlive the rows they came from.

  Scenario Outline: A node notices that its link is congested
    Given a router that knows a peer in the <region> region
    When the peer's messages take 5 ms, and then <delay> ms more
    Then the router <asks> others to send elsewhere

    Examples:
      | region | delay | asks         |
      | same   | 300   | asks         |
      | same   | 100   | does not ask |
      | other  | 300   | does not ask |

  Scenario Outline: The metrics tell whether a link within the region or between regions delays messages
    Given a router that knows a peer in the <region> region
    When the peer's messages take 5 ms, and then 300 ms more
    And it sends the peer a request with a body of 60000 bytes
    Then the metrics count 1 message of "<place>" that was delayed by 0.2 to 0.4 s, and none of "<not place>"
    And the bytes sent to "<place>" are counted, and none to "<not place>"

    Examples:
      | region | place | not place |
      | same   | own   | other     |
      | other  | other | own       |

  Scenario: The log tells how much of a request's time was spent on the way to its target
    Given a gateway with 8 nodes to choose from
    When a node declines a request 200 ms after it was sent, and the next answers 500 ms later after 150 ms of work
    Then the log says that the last try began after 200 ms and was on its way for 350 ms

  Scenario Outline: The log tells what had no room for a request
    Given a receiver on a link of 625000 bytes a second with 8 offered bodies
    When <what> and a request asks to start at once
    Then it is declined as busy because of "<full>"

    Examples:
      | what                               | full   |
      | the target has no free slot        | slots  |
      | bodies of others are awaited and one of its own | bodies |
      | only the link of the VM is congested | link |

  Scenario: A cold target gets nothing before it is known what it bears
    Given a receiver on a link of 625000 bytes a second with 0 offered bodies
    When its target reports itself cold for 3 s, and 20 requests arrive before the routes
    Then none of them is sent to the target, and all are declined as not run
    When the routes arrive with a rate of 5.5 requests a second for cold targets, and 20 requests more
    Then 5 of them are sent to the target

  Scenario Outline: A request that the target itself turns away may come back as soon as a slot is free
    Given a receiver on a link of 625000 bytes a second with 0 offered bodies
    When <queued> requests are queued for its 6 slots, and the target turns one away that it did not run
    Then that one is declined as not run, with a time to come back of <least> s to <most> s

    Examples:
      | queued | least | most |
      | 0      | 0.05  | 0.1  |
      | 60     | 1     | 2    |

  Scenario: A request that cannot be encoded for the target is declined as not run, and frees its slot
    Given a receiver on a link of 625000 bytes a second with 0 offered bodies
    When 20 requests arrive that cannot be encoded for the target
    Then none of them is sent to the target, and all are declined as not run

  Scenario: A key with too many digits for a number is refused like any other that does not exist
    Given a gateway that knows an old owner of a key
    When a caller sends a request with the key "65536" or one of 5000 digits
    Then each of them is refused with status 400

  Scenario: A small request is not turned away for bodies that are awaited
    Given a receiver on a link of 625000 bytes a second with 8 offered bodies
    When nothing else happens and a request asks to start at once
    Then it is sent to the target

  Scenario: Messages of a VM that was started anew do not count as held up
    Given a router that knows a peer in the same region
    When the peer's messages take 5 ms, and its VM is started anew with a clock that is 80000 s behind
    Then its next request is accepted, and the router does not ask others to send elsewhere
    When a request of the new process is held up for 2 s
    Then that one is refused as late

  Scenario: A node asks for work again once its link is free
    Given a router that knows a peer in the same region
    When the peer's messages take 5 ms, and then 300 ms more
    And no message is held up for 1.2 s
    Then the router does not ask others to send elsewhere

  Scenario: A node whose messages arrive late is passed over
    Given a gateway with 8 nodes to choose from
    When a node declines a request because it was held up on its way
    Then the request goes to another node, and the next 50 requests too

  Scenario: A request that the full link to another region cannot take goes to a busier node of the own region
    Given a gateway with 4 busy nodes in the own region and 4 idle ones in the other, whose link holds up for 2 s
    When 50 requests arrive
    Then all of them are sent, and at least 0.8 to the own region

  Scenario: A request for a key that has moved goes to the new owner without a read of the ring
    Given a gateway that knows an old owner of a key
    When the old owner declines a request and names the new one
    Then the request goes to the new owner at once
    When the new owner declines it too and names the old one
    Then the ring is read

  Scenario Outline: A request for a key never leaves the regions of its route: <owner>
    Given a gateway that knows an old owner of a key
    And the route allows only the region "east", and "<owner>" is in the region "west"
    When a caller sends a request for the key, which moves to "n1" if the old owner is asked
    Then the caller gets 503 with reason "owner_outside_regions" and a Retry-After of 5 s
    And nothing of it was sent to the region "west"

    Examples:
      | owner |
      | n0    |
      | n1    |

  Scenario Outline: A target's own failure is not replaced by another one when its repeat <ends>
    Given a gateway that knows an old owner of a key
    When the target answers a request for the key with 500, and the repeat <ends>
    Then the caller gets the target's answer 500 with its signature and body

    Examples:
      | ends                                |
      | is refused as the node stops        |
      | is refused as the node has no time  |
      | loses its connection                |
      | reaches its deadline                |

  Scenario: A busy node turns a request away once, and the request goes to another at once
    Given a gateway with 8 nodes to choose from
    When two nodes turn a request away because they have no free slot
    Then a third node gets it and may queue it

  Scenario: A large body is not sent before the receiver asks for it
    Given a router that knows a peer in the same region
    When it sends the peer a request with a body of 60000 bytes
    Then the body is offered, and its parts are sent once when the peer asks for them

  Scenario: A request whose body was not asked for has not run when its receiver is lost
    Given a router that knows a peer in the same region
    When it sends the peer a request with a body of 60000 bytes
    Then the loss of the peer means "not run" before the end of the body was sent, and "may have run" after that

  Scenario: A request at a node whose row is removed still gets its answer
    Given a router that knows a peer in the same region
    When it sends the peer a request with a body of 10 bytes
    And the peer's row is removed
    Then the peer's answer is passed on, and the connection is closed after that

  Scenario: A restarted node is not taken to have lost what it got after its start
    Given a router that knows a peer in the same region
    When it sends requests before and after a restart of the peer, and learns of the restart after that
    Then only the request from before the restart is given up

  Scenario: Bodies that many nodes offer at once do not fill a narrow link
    Given a link of 625000 bytes a second
    When 40 bodies of 60000 bytes are offered at once, every fourth of them urgent
    Then at most 0.05 s of the link is asked for at any time, urgent bodies first, and all in the end

  Scenario: A body that comes slowly from another region holds up none from the own region
    Given a link of 625000 bytes a second
    When a body of 60000 bytes is offered from another region and its parts do not come
    Then a body of 60000 bytes from the own region arrives

  Scenario Outline: A body that will not come holds nothing up
    Given a receiver on a link of 625000 bytes a second with 8 offered bodies
    When <event>
    Then the other bodies are asked for

    Examples:
      | event                                         |
      | callers of the bodies that were asked for leave |
      | deadlines of the bodies that were asked for pass |
      | bodies that were asked for arrive             |

  Scenario: A failure domain that was taken back while changes could not be read is used again
    Given the operator's rows with an evacuated failure domain
    When the evacuation ends while the store has dropped its history
    Then no failure domain counts as evacuated

  Scenario: A node that was removed while changes could not be read is forgotten
    Given 4 nodes whose targets hold keys
    When a complete read of the rows lacks one of them
    Then that node is no candidate any more, and the others are

  Scenario: Probes of a store that does not answer wait longer each time
    Given a client of the platform's store whose calls time out
    When changes are read 5 times
    Then the time limits grow from 1 s to 2 s after the first one

  Scenario: A service that is only in the other region is tried once before a request is queued there
    Given a gateway with 8 nodes in the other region to choose from
    When a node turns a request away because it has no free slot
    Then another node gets it and may queue it

  Scenario: A body that would take the link for too long is refused at once, with the time until there is room
    Given a receiver on a link of 625000 bytes a second with 8 offered bodies
    When 20 more bodies are offered
    Then the last ones are declined with a time to come back of 0.5 s to 2 s
    And the load report counts what waits for the link

  Scenario: A stopping node gives up uploads whose body was not asked for, as not run
    Given a gateway with 8 nodes to choose from
    When an upload waits at another node while the node must end
    Then its caller is told to come back, and that it has not run

  # Guards against a target that gives a request up although no other one gets it.
  Scenario: A target is told whether a request that it does not answer is sent to another one
    Given a gateway with 3 nodes to choose from
    When a read that may be sent to 2 targets is not answered by the first one
    Then the first target was told that another one may get it, and the second one that none does
