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
