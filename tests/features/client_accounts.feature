Feature: Requests carry the key of a client account
  Guards against runs without a valid key, keys that leave the entry node, and a wrong account for a run.

  Scenario Outline: A request with <headers> gets <status> on a private route
    Given a gateway with the accounts "alice" and "bob"
    Then a request with <headers> to "/a/x" gets <status>

    Examples:
      | headers                 | status |
      | no key                  | 401    |
      | an empty key            | 401    |
      | an unknown key          | 401    |
      | a key in other letters  | 401    |
      | two keys                | 401    |
      | a list of keys          | 401    |
      | the key of alice        | a node |
      | the other key of alice  | a node |
      | the key of bob          | a node |

  Scenario: On a public route a key is optional, and a wrong one names no account
    Given a gateway with the accounts "alice" and "bob"
    Then a request with no key to "/public/x" is forwarded for the account ""
    And a request with an unknown key to "/public/x" is forwarded for the account ""
    And a request with the key of alice to "/public/x" is forwarded for the account "alice"

  Scenario: A node whose configuration may be outdated does not answer 401
    Given a gateway with the accounts "alice" and "bob"
    When its configuration has not been confirmed for 60 s
    Then a request with an unknown key to "/a/x" gets 503
    And a request with no key to "/a/x" gets 503
    And a request with the key of alice to "/a/x" gets a node

  # Guards against targets or other nodes that learn a key, and against names that callers forge.
  Scenario: The key goes no further than the entry node, and the name of the account is the router's
    Given a gateway with the accounts "alice" and "bob"
    When a request with the key of alice also names the account "bob"
    Then what is sent to the other node has neither the key nor the name "bob" among its headers
    And the target is told the account "alice"

  Scenario: Without accounts in the configuration, the headers pass as they are
    Given a gateway with 3 nodes to choose from
    Then headers with a key and an account pass to the target

  Scenario: Priority and regions of the account apply
    Given a gateway with the accounts "alice" and "bob"
    Then a request of "alice" has priority 0 and the regions "east"
    And a request of "bob" has priority 3 and the regions "east west"
    And a request of "carol" is refused because no region is allowed

  Scenario Outline: A nested request is admitted without a key when the run <state>
    Given a gateway with the accounts "alice" and "bob", whose target runs a request of "alice"
    When the run <state>
    Then a nested request of it is forwarded for the account "alice"
    And a nested request of an unknown run gets 401

    Examples:
      | state                  |
      | is still going on      |
      | ended 8 s ago          |
      | was cancelled 8 s ago  |

  Scenario: A run is forgotten some time after its end, and a nested request with a wrong key is refused
    Given a gateway with the accounts "alice" and "bob", whose target runs a request of "alice"
    Then a nested request of it with an unknown key gets 401
    When the run ended 11 s ago
    Then a nested request of it gets 401

  Scenario: After a restart it is not known which runs there are
    Given a gateway with the accounts "alice" and "bob", which was started 2 s ago
    Then a nested request of an unknown run gets 503
    And a request with no key to "/a/x" gets 401

  Scenario Outline: A request <state> is <outcome> when its key is removed
    Given a gateway with the accounts "alice" and "bob"
    And a request of "alice" that is <state>
    When the key of "alice" is removed
    Then the request is <outcome>
    And a request of "bob" that waits meanwhile is still served

    Examples:
      | state                             | outcome            |
      | queued at another node            | refused with 401   |
      | sent to its target                | answered           |
      | running, and fails with 500       | answered with 500  |
      | about to be sent to another owner | refused with 401   |
      | offered with a large body         | refused with 401   |

  Scenario: A key that moves to another account is not billed to the former one
    Given a gateway with the accounts "alice" and "bob"
    And a request of "alice" that is queued at another node
    When the key of "alice" is given to "bob"
    Then the request is refused with 503

  Scenario: The node of the target declines a withdrawn request unless the target has it
    Given a receiver on a link of 1000000 bytes a second with 0 offered bodies
    When one request runs at its target and one is queued, and both are withdrawn
    Then only the queued one is declined

  Scenario: Removed keys are refused within 3 s, also where the store cannot be read
    Given 4 nodes in region "east" and 2 in region "west" with the account "alice"
    When the store turns "east-0" away
    And the key of "alice" is removed in the store
    Then within 3 s no node admits the key

  Scenario: No entry of the accounts affects another one
    Then for each odd entry of the accounts the table of outcomes holds, and no fault contains a key
