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
