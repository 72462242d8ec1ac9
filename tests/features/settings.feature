Feature: Settings are checked as a whole before the daemon starts

  Scenario Outline: A wrong setting is reported with its name, value and accepted range
    When settings are loaded with the variable "<variable>" set to "<value>"
    Then the only settings problem is "<problem>"

    Examples:
      | variable              | value           | problem                                                       |
      | NODE                  | a/b             | node='a/b': expected 1 to 63 letters                          |
      | SERVICE               | a@b             | service='a@b': expected 1 to 63 letters                       |
      | PEER_ADDRESS          | localhost:7001  | peer_address='localhost:7001': expected ip:port               |
      | PEER_ADDRESS          | 0.0.0.0:7001    | peer_address='0.0.0.0:7001': expected ip:port                 |
      | PEER_ADDRESS          | 127.0.0.1:0     | peer_address='127.0.0.1:0': expected ip:port                  |
      | PEER_ADDRESS          | 127.0.0.1:65536 | peer_address='127.0.0.1:65536': expected ip:port              |
      | PEER_ADDRESS          | ::1:7001        | peer_address='::1:7001': expected ip:port                     |
      | PEER_ADDRESS          | 127.0.0.1       | peer_address='127.0.0.1': expected ip:port                    |
      | HTTP_ADDRESS          | 127.0.0.1:7001  | http_address='127.0.0.1:7001': expected an address other than peer_address |
      | SHARED_KEY            | short           | shared_key=(hidden): expected 16 to 256                       |
      | LEASE_TERM_MS         | 299             | lease_term_ms='299': expected integer from 300 to 60000       |
      | LEASE_TERM_MS         | 1.5             | lease_term_ms='1.5': expected integer from 300 to 60000       |
      | LEASE_TERM_MS         | 1_500           | lease_term_ms='1_500': expected integer                       |
      | RENEWAL_INTERVAL_MS   | 501             | renewal_interval_ms=501: expected at most 500, a third        |
      | CLOCK_MARGIN_PERCENT  | nan             | clock_margin_percent='nan': expected number from 0.1 to 10.0  |
      | CLOCK_MARGIN_PERCENT  | 0.0             | clock_margin_percent='0.0': expected number                   |
      | SLOTS                 | 0               | slots='0': expected integer from 1 to 10000                   |
      | DEDUP_WINDOW_S        | -5              | dedup_window_s='-5': expected integer from 10                 |
      | LOG_LEVEL             | info            | log_level='info': expected one of DEBUG, INFO, WARNING, ERROR |
      | SLOTZ                 | 9               | HIBISCUSDRUM_SLOTZ=(hidden): expected the name of a setting   |

  Scenario: All faults are reported at once
    When settings are loaded from nothing but an unknown flag
    Then 10 settings problems are reported

  Scenario: A flag takes precedence over the environment
    When settings are loaded with the flag slots=3 and the variable "SLOTS" set to "4"
    Then the setting slots is 3

  Scenario: The shared key does not appear in any text made from the settings
    When complete settings are loaded
    Then no text made from the settings holds the shared key

  Scenario: The table of settings and the settings class agree
    Then every described setting is a field of the settings class with an accepted default

  Scenario Outline: The daemon's check command reports by exit code and without starting
    When hibiscusdrumd is called with "<arguments>" and <environment> variables
    Then the program ends with exit code <code> and prints "<text>"

    Examples:
      | arguments           | environment | code | text                          |
      | check               | complete    | 0    | lease_term_ms=1500            |
      | check --slots 5     | complete    | 0    | slots=5                       |
      | check --slots none  | complete    | 2    | slots='none': expected integer |
      | --slots none        | complete    | 2    | slots='none': expected integer |
      | check               | no          | 2    | shared_key=(missing)          |
      | check --no-such 1   | complete    | 2    | unrecognized arguments        |
      | --version           | no          | 0    | hibiscusdrumd 0               |
