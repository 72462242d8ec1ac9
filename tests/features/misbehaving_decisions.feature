Feature: Who is served, refused or closed first when clients misbehave
  Guards against input of costly clients that delays that of others, against refusals of callers who go on in favour of
  those who stall, and against heartbeats that find no connection.

  Scenario: Input of costly connections waits for that of others, but not for ever
    Given waiting input of 3 costly connections and of 3 others
    When it is taken in turns of which each part uses a fifth
    Then the order is "cheap cheap cheap costly costly costly"
    Given waiting input of 2 costly connections and of 6 others
    When it is taken in turns of which each part uses a fifth
    Then the order is "cheap cheap cheap cheap costly cheap cheap costly"

  Scenario: A connection pays its debt of processor time back at its share
    Given a connection whose input took 0.05 s, of which its share is 0.05
    When 0.5 s later it takes 0.001 s
    Then its debt is 0.026 s
    When 10 s later it takes 0.001 s
    Then its debt is 0.001 s

  Scenario Outline: Of requests that are incomplete <refused> are refused
    Given incomplete requests that hold <held> bytes and were idle for <idle> s
    When <excess> bytes are to be released
    Then those with the numbers "<refused>" are refused

    Examples:
      | held          | idle       | excess | refused |
      | 100, 900, 500 | 0, 0, 0    | 800    | 1       |
      | 100, 900, 500 | 9, 0, 9    | 550    | 2, 0    |
      | 100, 900, 500 | 9, 0, 9    | 700    | 2, 0, 1 |
      | 100, 900, 500 | 9, 9, 9    | 0      |         |

  Scenario: A throttled class still sends a request at intervals
    Given a throttle that has seen 10000 refusals in the last second
    Then a request is forwarded at 0 s, not at 0.2 s, and again at 0.6 s

  Scenario: Crowds at a control port close no connection that reports, and a new one is answered
    Given an entry with a control address for at most 4 connections
    When a target reports on a connection of its own
    And 40 clients connect there and send "half a head"
    Then another report on the connection of the target is answered
    And a report on a new connection is answered, while 4 connections are open

  Scenario: Callers that stall lose their connection to a new one, and are told that nothing ran
    Given an entry for at most 3 callers of which 3 have stalled in a body
    When another caller sends a request
    Then it is answered with 200, and the first of them got 503
