Feature: A system of real processes keeps its guarantees through faults
  Guards against two owners, lost or doubled requests and false refusals that appear only with real processes,
  signals and sockets. Every history is recorded under load and checked as a whole.

  Scenario Outline: Keys are served again within 5 s after the loss of <loss>
    Given a loaded system of four nodes in two failure domains
    When the system loses <loss>
    Then each key is answered again within 5 s of the loss
    And the system history keeps every guarantee

    Examples:
      | loss                          |
      | the owner                     |
      | the daemon of the owner       |
      | the target of the owner       |
      | the owner and its guard       |
      | the failure domain of the owner |

  Scenario Outline: A frozen owner does no harm when it wakes <frozen>
    Given a loaded system of four nodes in two failure domains
    When <frozen> of the owner is paused for 3 s and resumed
    Then the system history keeps every guarantee

    Examples:
      | frozen                |
      | the daemon            |
      | the daemon and target |

  Scenario Outline: A retry does not run again after the target ran the request and <lost>
    Given a loaded system of four nodes in two failure domains
    When the target of the owner runs 20 requests without an answer, and <lost>
    Then retries of unanswered requests were refused as unknown
    And the system history keeps every guarantee

    Examples:
      | lost                  |
      | the answer is lost    |
      | the daemon is killed  |

  Scenario: Owners serve through a store outage that begins in the steady state
    Given a loaded system of four nodes in two failure domains
    And no slices have moved for 2 s
    When the store is down for 3 s
    Then every request during the outage was answered
    And the system history keeps every guarantee

  Scenario: Owners serve through a store outage that begins while slices move
    Given a loaded system of four nodes in two failure domains
    When a node is replaced and the store is down for 3 s as soon as it has joined
    Then every request during the outage was answered
    And the system history keeps every guarantee

  Scenario: Lost replies of the store lose no join and no confirm
    Given a loaded system of four nodes in two failure domains
    When a node joins and a plan is confirmed while the store loses its replies
    Then the node has joined and the plan is accepted as one revision
    And the system history keeps every guarantee

  Scenario: Parted regions serve their own keys, and a confirm waits for both
    Given a loaded system of two regions
    When west is parted for 4 s and a plan is confirmed in ost meanwhile
    Then every request during the partition was answered
    And the system history keeps every guarantee

  Scenario: An operator in a parted region is told that the outcome is unknown
    Given a loaded system of two regions
    When west is parted for 8 s and a node of west is asked for a plan
    Then the operator is told that the outcome is unknown
    And the system history keeps every guarantee

  Scenario: Refusals under overload are true
    Given a loaded system of four nodes in two failure domains
    When every target is slowed 1000 times for 4 s after running 9 requests unanswered
    Then some requests of that time were refused as not run
    And the system history keeps every guarantee

  Scenario: A target whose node is retired by an operator gets no new work
    Given a loaded system of four nodes in two failure domains
    When the node of the owner is retired by an operator
    Then the retired node owns nothing and its target runs nothing after 5 s
    And the system history keeps every guarantee
