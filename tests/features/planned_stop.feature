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

  Scenario: A planned stop ends when nothing more arrives
    Given a router at the end of its planned stop
    Then the router ends within 1 s
