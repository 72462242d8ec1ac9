Feature: A request that crashes its targets is kept from them
  Guards against a caller's repetition that takes one target after the other from all other callers.

  Background:
    Given a system of routers whose targets are started again 3 s after a crash

  # Guards against routers that take each repetition for a new request.
  Scenario Outline: A poison request that is repeated at any router stops reaching targets: <requests>
    When <requests> are repeated for 20 s beside sound ones, <meanwhile>
    Then each of them reaches targets at most 3 times from 4 s after its third crash on
    And at least <served> in 100 of the sound requests are served from 5 s after the last third crash on

    Examples:
      | requests                                   | meanwhile                          | served |
      | a read, a read with a key and a large POST | while nothing else happens         | 99     |
      | a read                                     | while the routers restart in turn  | 90     |
      | a POST to the path of a sound one          | while nothing else happens         | 99     |

  # Guards against sound requests of a class that stay unserved because many of its requests are poison.
  Scenario: Six different poison requests of one class stop reaching targets, and the class is served again
    When six different reads are repeated for 45 s beside sound ones, while nothing else happens
    Then each of them reaches targets at most 3 times from 4 s after its third crash on
    And at least 99 in 100 of the sound requests are served from 5 s after the last third crash on

  # Guards against sound requests that are refused since they ran on targets that were lost together.
  Scenario: A popular request is served after most of its targets were killed together, three times
    When 2 of 3 targets are killed together 3 times, while 8 callers read what takes 0.8 s
    Then no request is held, and from 4 s after the last kill on all reads are served

  Scenario: An operator sees what is held, and releases it on every node
    When a read is repeated for 12 s beside sound ones, while nothing else happens
    Then a VM's command "quarantine" names one request, which is held
    When an operator releases it
    Then within 4 s every router says that its hold has ended
    And a VM's command "quarantine" names one request, which is released
    And releasing "no identity" ends with code 2 and an error that names it
