Feature: Routers serve callers within the limits of descriptors that they inherit
  Guards against callers that keep connections and so leave a router without descriptors for others, or without a
  processor, since a listener that cannot be accepted from stays readable.

  Scenario: Callers get the descriptors of the hard limit
    Given routers with a soft limit of 120 descriptors and a hard limit of 2000
    When 200 callers of one router send a request each and keep their connections
    Then each caller is answered with 200
    And the router has failed to accept connections 0 times
    And all of these connections are open
