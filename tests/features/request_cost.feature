Feature: The cost of requests decides where they go and which wait

  Scenario: The mean cost of a class with a long tail is learned, also after an abrupt change
    Given a class with a mean cost of 0.1 s of which one request in 20 takes several times that
    When 400 requests of it have ended
    Then its expected cost is between 0.075 and 0.13 s
    When its mean cost rises to 0.3 s for 30 requests
    Then its expected cost is between 0.18 and 0.42 s
    And a class never seen is expected to cost as much as all requests

  Scenario: Costs of classes beyond the limit are learned together
    When requests of 300 classes have ended after 0.2 s each
    Then costs are kept for 257 classes

  Scenario Outline: The remaining work of a request follows the spread of its class
    Given a class whose requests cost <cost>
    When one of them has run for 0.5 s
    Then <low> to <high> s of work are outstanding

    Examples:
      | cost                             | low  | high |
      | exactly 0.8 s                    | 0.25 | 0.35 |
      | exactly 0.3 s                    | 0    | 0.02 |
      | exponential with a mean of 0.3 s | 0.2  | 0.45 |

  Scenario: A slow phase that the target states changes neither learned costs nor progress
    Given a class whose requests cost exactly 0.1 s
    When the target states 300 percent and a request of the class ends after 0.3 s
    Then its expected cost is between 0.099 and 0.101 s
    And the slowdown is 3, and 1 as usual 0.6 s later

  Scenario: A lasting slow phase that the target does not state is noticed from service times
    Given a class whose requests cost exponential with a mean of 0.1 s
    When 20 requests end after 0.3 s each within 1 s
    Then a further request is expected to take 0.2 to 0.4 s

  Scenario Outline: A figure that is no percentage is an error and changes nothing
    When a target states the load "<figures>"
    Then <outcome>

    Examples:
      | figures     | outcome                 |
      | 2,0,6,150   | its slowdown is 1.5     |
      | 2,0,6       | it states no slowdown   |
      | 2,0,6,x     | its answer is malformed |
      | 2,0,6,-5    | its answer is malformed |
      | 2,0,6,0     | its answer is malformed |
      | 2,0,6,inf   | its answer is malformed |

  Scenario: A node reports the work that is running and queued at its target
    Given a queue for 2 slots and classes that cost 0.1 and 0.6 s
    When 3 short requests and 1 long one arrive
    Then 0.9 s of work are outstanding
    And after 0.05 s and the end of one short request, 0.7 to 0.8 s are

  Scenario: A long request goes to the faster target, although a short one ends sooner at the idle one
    Given a fast target with 9 short requests and one half as fast with 0
    Then a short request is sent to the slow target
    And a long request is sent to the fast target

  Scenario: Of two targets with as many requests, the one with less work is chosen
    Given two equal targets with 6 requests each, those at one of them long
    Then a short request is sent to the fast target

  Scenario Outline: Values that are not credible count as not reported
    Given a target that reports work <work> and slowdown <slowdown>
    Then its expected end is finite, and what it would be if it reported nothing

    Examples:
      | work | slowdown |
      | -5   | 1        |
      | inf  | 1        |
      | nan  | 1        |
      | 1e9  | 1        |
      | 0.4  | 0        |
      | 0.4  | -3       |
      | 0.4  | inf      |
      | 0.4  | nan      |

  Scenario: A peer of an earlier release is judged by its mean service time
    Given a peer of an earlier release that takes 0.3 s for a request, beside one that takes 0.1 s
    Then a short request is sent to the fast target
    Given a peer of an earlier release that takes 0.05 s for a request, beside one that takes 0.1 s
    Then a short request is sent to the slow target

  Scenario: An old report counts less than the usual load of the target
    Given reports of a target that usually has 6 requests, and has 0 in the last one
    Then 0 to 0.7 requests are expected there 0 s later
    And 5 to 6 requests are expected there 3 s later

  Scenario Outline: Requests end sooner when their costs are known
    When requests of unequal cost come at <load> of the capacity for 20 s, with 3 seeds
    Then with costs the mean and the 99th percentile are shorter, and fewer goals are missed

    Examples:
      | load |
      | 0.6  |
      | 0.9  |

  Scenario: The expected wait follows the costs of the entries ahead
    Given a full target with 2 slots and classes that cost 0.1 and 0.6 s
    Then 4 long ones ahead delay a request 3 to 7 times as long as short ones

  Scenario: A request that cannot end in time because of more urgent ones is refused before its deadline
    Given a full target with 2 slots and classes that cost 0.1 and 0.6 s
    When a short request of priority 1 with 1 s left waits, and 8 long ones of priority 0 arrive
    Then only the short one is refused within 0.1 s

  Scenario: A long request yields to a short one of its priority that would else miss its goal
    Given a full target with 1 slots and classes that cost 0.1 and 0.6 s
    When a short request has 0.3 s left for its goal, and a long one that precedes it arrives
    Then the short one is started first

  Scenario Outline: In an overload no class is served less than a quarter as often as all, nor urgent ones least
    When requests of unequal cost come at <load> of the capacity for 12 s, with 2 seeds
    Then with costs each class is served at least 0.25 times as often as all
    And classes of priority 0 are served at least as often as those of priority 1
    And of the refused callers that come back, fewer than 0.2 are refused again

    Examples:
      | load |
      | 1.6  |
      | 3    |

  Scenario: Refused callers are told different times to come back, as far apart as there is room
    Given a route of which 10 requests a second are served
    When 20 callers are refused who wait for up to 60 s
    Then they come back so far apart that at most a tenth of the served requests is kept for them
    When 20 callers are refused who wait for up to 0.5 s
    Then no room is kept for them

  Scenario: A request whose caller comes back as told precedes others of its priority, but no urgent ones
    Given a full target with 1 slots and classes that cost 0.1 and 0.6 s
    When requests of priority 0 and 1 and one like the latter of a caller that came back wait
    Then they start in the order: urgent, returned, other

  Scenario: Routers that know costs tell callers times to come back at which they are served
    Given routers in two regions that know costs, and a service of 8 targets in one of them
    When the service gets 1.5 times what it can run for 10 s, half of it from the other region
    Then every request is answered or refused as not run
    And at least 0.75 of what the targets can run is answered on time
    And of the callers that come back to these routers, fewer than 0.2 are refused again

  Scenario: A slow phase that a target states, its work and its costs reach the nodes that send to it
    Given routers in two regions that know costs, and a service of 8 targets in one of them
    When all targets state 300 percent, and the service gets 0.8 times what it can run for 3 s
    Then a node knows of a slowdown of 3, of outstanding work, and of the cost of the service

  Scenario: Routers that know costs refuse at once what they cannot serve
    Given routers in two regions that know costs, and a service of 8 targets in one of them
    When the service gets 1.5 times what it can run for 10 s, half of it from the other region
    Then every request is answered or refused as not run
    And 0.5 of the refusals take at most 0.125 of the latency goal
