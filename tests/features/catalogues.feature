Feature: Errors, events and settings have complete catalogues

  Scenario: Every error type can be told apart and reported
    Then every error type has a unique code, an HTTP status and a template that names its fields

  Scenario: Every event can be told apart and acted on
    Then every event has a unique number and name, a level, a cause and an operator action

  Scenario: No event has a field for contents of requests
    Then no event has a field for keys, bodies or secrets

  Scenario: An event is written as one JSON object a line
    When a takeover event is emitted on node "n7" at level "INFO"
    Then the log holds one line with number 312, node "n7" and the event's fields

  Scenario: Events below the configured level are not written
    When a takeover event is emitted on node "n7" at level "ERROR"
    Then the log is empty

  Scenario: The text of an unexpected exception is not written, since it may quote a request
    When a failure whose text is "citizen's drawing" is logged on node "n7"
    Then the log holds one internal_error line without "drawing"

  Scenario: A stray sender cannot fill the log
    When 500 invalid frames arrive within half a second and another one two seconds later
    Then the log holds 2 lines and the last one counts 499 events left out

  Scenario: A frequent fault does not hide another one
    When two faults at different places are logged 10 times each at once
    Then the log holds 2 lines

  Scenario Outline: A generated page matches its module
    Then the page "<page>" is what the module "<module>" describes

    Examples:
      | page     | module     |
      | settings | settings   |
      | events   | log_events |

  Scenario: The operators' page covers every command, intent, state and exit code of the program
    Then the operators' page names what the client and the intents define

  Scenario: The glossary points to places that exist
    Then every place in the glossary exists in the code

  Scenario: The program that is deployed needs only the libraries that its build installs
    Then the program for the platform starts with no other libraries than those in "deploy/requirements.txt"
