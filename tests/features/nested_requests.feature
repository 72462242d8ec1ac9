Feature: Requests of a running target are served before new ones
  Guards against an overload of one service that makes the running requests of others fail: a target whose own request
  is refused answers 500, and the time that it spent on the request is lost.

  Scenario: Nested requests are served by a target that others overload with more urgent requests
    Given a target with 3 slots that takes 0.11 s for a request
    When urgent requests arrive at twice its capacity, and nested ones of 0.04 s need a tenth of it
    Then at least 98 in 100 of the nested requests are answered before their deadline
    And at least 85 in 100 of its capacity serve the urgent ones, on time

  Scenario: More nested requests than a target can serve do not wait until they are late
    Given a target with 3 slots that takes 0.11 s for a request
    When nested requests of 0.04 s arrive at twice its capacity
    Then at least 85 in 100 of its capacity serve nested requests before their deadline

  Scenario: A request is nested if its id names one that the target of this VM is running
    Given a gateway with 3 nodes to choose from
    And its target runs the request "a1"
    When the service refuses all requests for 5 s
    Then the request "a1.b2" is forwarded as nested
    And most of 20 requests with the ids "a2.b2" and "a3" are refused at once, and none is forwarded as nested

  Scenario: A nested request is queued although it misses its latency goal, and before others
    Given a receiver on a link of 1000000 bytes a second with 0 offered bodies
    And all of its slots are taken, and 4 queued requests can meet their goals
    When a request with a goal of 0.05 s arrives, and then a nested one with the same goal
    Then the first is declined, and the nested one is the next to be sent
