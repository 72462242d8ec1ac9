Feature: Nodes that cannot read the store neither deny what a newer configuration allows nor act on an old one

  Scenario: A node that cannot confirm its configuration does not deny a route that it may lack
    Given a node that follows the operator's rows alone
    When the store turns it away, and a route is added
    Then 5 s later the new route is refused with 503 and a Retry-After
    And the known routes are still served
    When the store answers it again
    Then the new route is known within 1 s, and an unknown route is answered with 404
