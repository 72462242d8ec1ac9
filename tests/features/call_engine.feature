Feature: The call engine ends every call once, and says "not run" only when no attempt may have run

  Scenario: A second call with the id of a call in flight ends with an unknown outcome
    Given a call engine whose key "adler" is owned by "n1"
    When two calls with one id are submitted
    Then the second ends with "outcome_unknown" and the first is answered

  Scenario Outline: A refusal of a repeated attempt does not hide that the first is unanswered: <refusal>
    Given a call engine whose key "adler" is owned by "n1"
    When an idempotent call gets no answer, is repeated and then refused with "<refusal>" until its deadline
    Then the call ends with "outcome_unknown"

    Examples:
      | refusal    |
      | lease_lost |
      | overloaded |
      | no_owner   |

  Scenario: A non-idempotent call whose refusal proves that it did not run is sent again
    Given a call engine whose key "adler" is owned by "n1"
    When a non-idempotent call is refused with "lease_lost" and then answered
    Then the call was sent twice and is answered

  # Guards against a call that crashes its target and is sent to one target after the other.
  Scenario Outline: An idempotent call that targets leave unanswered as they end is sent to three at most: <end>
    Given a call engine whose key "adler" is owned by "n1"
    When an idempotent call of 10 s is refused with "<end>" each time it is sent
    Then it was sent 3 times, and the call ends with "<end>"

    Examples:
      | end               |
      | outcome_unknown   |
      | incomplete_answer |

  Scenario: A call under which three targets have ended waits for the fourth, and is sent to no other
    Given a call engine whose key "adler" is owned by "n1"
    When an idempotent call is sent, ends three targets that no longer own its key, and is answered after 3 s
    Then it was sent once, and is answered
