Feature: The adapter decodes what the platform sends and refuses what it cannot read

  Scenario: The settings file becomes the router's settings
    Then a settings file of the platform gives the addresses, names and bounds of the router

  Scenario Outline: A settings file with <fault> is refused, and the fault is named
    Then a settings file with "<fault>" is refused because of "<name>"

    Examples:
      | fault              | name            |
      | no service         | service         |
      | a bad address      | target_address  |
      | a bad port range   | portRange       |
      | a bad bound        | holdMaxS        |
      | a bad switch       | costAware       |

  Scenario: A configuration becomes routes
    Then a configuration with columns gives routes, weights, homes, services and limits

  Scenario Outline: A configuration that is <fault> changes nothing
    Then a configuration that is "<fault>" cannot be read

    Examples:
      | fault                         |
      | cut short                     |
      | without routes                |
      | with services of another form |
      | without a version             |

  Scenario: The longest prefix decides, and a host with a port is found
    Then "keys.example:8080" and "/a/b/c?x=/" lead to the route "deep"

  Scenario: Requests are shared out by weight
    Then 1000 requests on a route with weights 90 and 10 go 900 and 100 to its services

  Scenario Outline: A report that <fault> is refused or ignored
    Then a report that "<fault>" leads to "<outcome>"

    Examples:
      | fault                               | outcome  |
      | is in order                         | ready    |
      | names another service               | refused  |
      | has an unknown state                | refused  |
      | has a text as its number of slots   | refused  |
      | is no JSON                          | refused  |
      | is older than the last one          | ignored  |
      | is from an earlier start            | ignored  |
      | is from a later start               | ready    |
      | comes after the target's notice     | draining |

  Scenario: The store's rows keep their versions, and a removed history is read anew
    Given a client of the platform's store and its stand-in
    Then a row that is written is read back with its version
    And a write under an old version is a conflict, and reports the current row
    And a write without an answer is reported as unknown, and one that was refused as not done
    And a wait for changes ends with the row that changed

  Scenario: A row written after the store was restored is newer over a connection too, and an old basis a conflict
    Given a client of the platform's store and its stand-in
    When a row is written three times, and the stand-in is restored to before that
    Then a wait for changes returns all rows of the restored stand-in
    And the row is written anew with a newer version
    And a write under its version from before the restore is a conflict

  Scenario Outline: The command line checks a settings file without starting
    Then the command line "<words>" with a settings file "<file>" ends with <code> and names "<text>"

    Examples:
      | words        | file       | code | text           |
      | check        | in order   | 0    | service=keyed  |
      | check        | with fault | 2    | target_address |
      | check        | missing    | 2    | usage          |
      | check --help | missing    | 2    | usage          |
