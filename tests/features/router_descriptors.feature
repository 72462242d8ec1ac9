Feature: Routers serve callers within the limits of descriptors that they inherit
  Guards against callers that keep connections and so leave a router without descriptors for others, or without a
  processor, since a listener that cannot be accepted from stays readable.

  Scenario: Callers get the descriptors of the hard limit
    Given routers with a soft limit of 120 descriptors and a hard limit of 2000
    When 200 callers of one router send a request each and keep their connections
    Then each caller is answered with 200
    And the router has failed to accept connections 0 times
    And all of these connections are open

  Scenario: Callers that keep more idle connections than fit cost no other caller an answer
    Given routers with a soft limit of 120 descriptors and a hard limit of 120
    When 200 callers of one router send a request each and keep their connections
    Then each caller is answered with 200
    And the router has failed to accept connections 0 times
    And the router counts as ready, and each service is served on every VM
    When the operator adds the route "/new/"
    Then the route "/new/" is served on every VM within 2.5 s

  Scenario: More callers than fit, of which none is idle, take neither the processor nor the other listeners
    Given routers with a soft limit of 120 descriptors and a hard limit of 120
    When 200 callers of one router have each sent half a request
    Then the router uses at most 0.3 s of the processor in the second after that
    And the router counts as ready, and has failed to accept connections 0 times
    When the callers that the router has accepted send the other half, and all leave after that
    Then each caller is answered with 200
    And the router counts as ready, and each service is served on every VM

  Scenario Outline: Of <limit> descriptors that the system allows and <given> in the settings callers get <callers>
    When a process that may open <limit> descriptors, and is not allowed to raise that, has <given> in its settings
    Then it starts, and its callers may take <callers> connections

    Examples:
      | limit | given | callers |
      | 20000 | 0     | 18612   |
      | 20000 | 4100  | 2712    |
      | 1024  | 4100  | 341     |
