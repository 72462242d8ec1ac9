Feature: Client accounts with real routers, a process each
  Guards against keys, quotas and messages that work only within one process.

  Scenario: Keys are needed, targets learn the account, and a removed key is refused within 3 s
    Given a system of routers
    When the operator adds the accounts "alice" and "bob"
    Then within 3 s requests without a key get 401 on every VM
    And requests with the key of "alice" are served on every VM, and their targets learn the account and not the key
    When the operator removes the key of "alice"
    Then within 3 s requests with the key of "alice" get 401 on every VM

  Scenario: A quota holds over all VMs, and a refusal tells when to come back
    Given a system of routers
    When the operator adds the accounts "alice" and "bob"
    And for 6 s each VM is asked as often as possible for "bob", whose quota is 20 requests a second and a burst of 10
    Then in no window of 5 s more than 141 of them ran, and at least 100 ran in all
    And all others got 429 with a Retry-After
    And the metrics of a router count the requests of "bob"
