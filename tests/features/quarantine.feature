Feature: Nodes agree on which requests crash their targets, and on no sound one
  Guards against poison requests that a node does not recognize, and sound requests that are refused for a crash.

  Scenario Outline: Attempts of one request have the same identity, and no other request has it: <field>
    Then a request with another <field> has <identity> identity

    Examples:
      | field                | identity    |
      | attempt id           | the same    |
      | deadline             | the same    |
      | service              | the same    |
      | case of its host     | the same    |
      | method               | a different |
      | host                 | a different |
      | path                 | a different |
      | query                | a different |
      | caller               | a different |
      | key                  | a different |
      | body                 | a different |
      | split of path and caller | a different |

  Scenario Outline: A request that crashed three targets one after the other is held on every node: <case>
    Given 4 nodes that share what they know of crashes
    When <case>
    Then the request is held on every node within 4 s
    And it is still held on every node after all of them were restarted at once

    Examples:
      | case                                                         |
      | three targets crash one after the other                      |
      | no message arrives after the third crash                     |
      | the store is down until 2 s after the third crash            |
      | the node beside the third target ends before it writes       |

  # Guards against routers that send a held request since they read targets before they read holds.
  Scenario: Nodes that all restart while the store is away know of no target before they know the hold
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And all nodes restart at once while the store is down for 3 s
    Then no node knows a target before the hold, and all know both within 8 s

  Scenario: A restored store that lacks a hold ends it nowhere
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And the store is restored from a copy that is older than the hold
    Then the request is held on every node within 4 s

  # Guards against sound requests that are refused since they ran on many targets that were lost together.
  Scenario: A popular request is not held when four targets are lost together, again and again
    Given 4 nodes that share what they know of crashes
    When four targets that run it crash together 3 times, and one answers it between the last two
    Then it is held on no node, and has 2 crashes at most

  # Guards against a suspect that one node has seen answered and others have not.
  Scenario: A request that a target has answered is not held for later crashes
    Given 4 nodes that share what they know of crashes
    When two targets crash one after the other under a request that a third one has answered
    Then the request is a suspect on no node

  Scenario: The end of a hold permits one crash, and an answer ends it everywhere
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And 601 s pass
    Then the request may be sent on every node
    When its next target crashes
    Then the request is held on every node within 4 s
    And its hold lasts 3600 s
    When 3601 s pass
    And a target answers it
    Then the request is a suspect on no node

  # Guards against an unlimited number of crashes after a release by mistake.
  Scenario: A request that is released and still crashes its targets is held again after three of them
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And the request is released, and 5 s pass
    And three targets crash one after the other
    Then the request is held on every node within 4 s

  Scenario: Rows of holds that have ended are deleted
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And 720 s pass
    Then the store has no row of a hold

  # Guards against callers that fill the memory or displace the holds of others.
  Scenario: Very many different poison requests displace no hold and fill neither memory nor store
    Given 4 nodes that share what they know of crashes
    When three targets crash one after the other
    And 6000 other requests crash three targets each
    Then the request is held on every node within 4 s
    And each node keeps at most 512 holds and 4096 suspects
    And the store has at most 512 rows of holds, written by at most 600 calls

  Scenario: A target runs one suspect of a crash at a time, and other requests beside it
    Given a router beside a target with 4 slots, and 3 suspects of a crash
    When the suspects and 2 other requests arrive
    Then the target is running 1 suspect and 2 other requests
    When the target answers the suspect
    Then the target is running 1 suspect and 2 other requests
    And the suspect that was answered is none any more

  # Guards against a cold target whose rate is spent on requests that are not sent.
  Scenario: Suspects that wait use nothing of the rate of a cold target
    Given a router beside a target with 9 slots, and 3 suspects of a crash
    When the target is cold and takes 4 requests a second, and the suspects and 3 other requests arrive
    Then the target is running 1 suspect and 3 other requests

  Scenario: A suspect leaves its place to the next one when its caller leaves
    Given a router beside a target with 4 slots, and 3 suspects of a crash
    When the suspects and 2 other requests arrive
    And the caller of the running suspect leaves
    Then the target is running 1 suspect and 2 other requests

  # Guards against a service without any target, because its last one crashes while the others start again.
  Scenario Outline: A request that has crashed two targets is kept from the last one of its service: <others>
    Given a router beside a target with 4 slots, and 3 suspects of a crash
    When a second target crashes under one of them, and the service has <others> beside this target
    And it arrives after <seconds> s
    Then the suspect is <outcome>

    Examples:
      | others                     | seconds | outcome                         |
      | no other target            | 0       | declined as last_target_spared  |
      | the target that crashed    | 0       | declined as last_target_spared  |
      | the target that crashed    | 4       | run                             |
      | another target             | 0       | run                             |
      | no other target            | 7       | run                             |

  # Guards against a poison request that was already accepted when it was found to be one.
  Scenario: A request that is held while it waits for its turn is refused at once as not run
    Given a router beside a target with 4 slots, and 3 suspects of a crash
    When the suspects and 2 other requests arrive
    And other nodes report more crashes under one that waits
    Then it is declined at once as quarantined and not run
    When it arrives once more
    Then it is declined at once as quarantined and not run

  # Guards against a body on its way that is run although its request was found to be poison meanwhile.
  Scenario: A request that is held while its body is on the way is declined when the body is there
    Given a router beside a target with 4 slots, and 3 suspects of a crash
    When a suspect with a body of 60000 bytes is held before its body has arrived
    Then it is declined at once as quarantined and not run

  # Guards against crashes that are suspected where a connection was lost, or where a target left as planned.
  Scenario Outline: Only the end of the target's process without notice is a crash: <what>
    Given a target that runs 3 requests
    When <what>
    Then <suspects> requests are suspects, and the interrupted ones end as <reason>

    Examples:
      | what                                                              | suspects | reason         |
      | the connections of 2 requests end, and the third goes on          | 0        | target_closed  |
      | all connections end, and its port accepts others                  | 0        | target_closed  |
      | all connections end, and its port refuses others                  | 3        | target_crashed |
      | all connections end, and a new start reports itself at once       | 3        | target_crashed |
      | all connections end, and a new start reports itself 3 s later     | 3        | target_closed  |
      | all connections end, and a new start reports itself 7 s later     | 0        | target_closed  |
      | it announces that it leaves, and all connections end              | 0        | target_closed  |
      | it reports that it drains, and all connections end                | 0        | target_closed  |
