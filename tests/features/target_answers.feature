Feature: Only a whole answer to a request, by the target that got it, is taken for its answer
  Guards against answers that end early and look whole, and against copies of earlier answers.

  Scenario Outline: An answer whose head is cut is not whole
    Given a target whose answers have a head with <framing>
    When each answer is cut after another byte of its head, and the connection is closed
    Then no answer is taken as whole

    Examples:
      | framing           |
      | a declared length |
      | chunked encoding  |
      | neither           |

  Scenario: An answer without a length is whole when its head has ended and the connection is closed
    Given a target whose answers have a head with neither
    When an answer is cut after its head, and the connection is closed
    Then the answer is taken as whole, with an empty body

  Scenario Outline: A refusal that is written once more is not taken for the answer to the next request
    Given a <process>'s target that refuses a request, and writes the refusal again before the next answer on that connection
    When a refusal that names <named> is followed by a request with <next> id
    Then the next request gets its own answer

    Examples:
      | process | named   | next        |
      | router  | its id  | the same    |
      | router  | its id  | another     |
      | router  | no id   | the same    |
      | router  | no id   | another     |
      | daemon  | its id  | the same    |
      | daemon  | no id   | another     |

  Scenario Outline: An answer that is written once more is not given to the next caller
    Given a router's target that answers a request, and writes the answer again before the next one on that connection
    When an answer that names <named> is followed by a request with another id
    Then the next request gets <outcome>

    Examples:
      | named   | outcome        |
      | its id  | its own answer |
      | no id   | no answer, and may have run |

  # Guards against a success that another request's answer, or a failed one, has been made into.
  Scenario Outline: A late copy of an answer, cut anywhere, does not become the answer to the next request: <then>
    Given a router's target that writes its former answer once more, cut after another byte each time, then <then>
    When a second request follows on each connection
    Then none of the second requests gets a success

    Examples:
      | then                                  |
      | closes the connection                 |
      | answers the next request with 500     |
      | answers the next request with 500 and closes the connection |
