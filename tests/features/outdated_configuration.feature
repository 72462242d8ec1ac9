Feature: Nodes that cannot read the store neither deny what a newer configuration allows nor act on an old one

  Scenario: A node that cannot confirm its configuration does not deny a route that it may lack
    Given a node that follows the operator's rows alone
    When the store turns it away, and a route is added
    Then 5 s later the new route is refused with 503 and a Retry-After
    And the known routes are still served
    When the store answers it again
    Then the new route is known within 1 s, and an unknown route is answered with 404

  Scenario: A node that the store turns away follows the configuration and evacuations of its peers
    Given 8 nodes in region "east" and 8 in region "west"
    When the store turns "east-0" and "west-3" away
    And configuration 11 adds a route, and "east-1" is evacuated
    Then all nodes know both within 1 s
    When the evacuation ends
    Then all nodes know that it has ended within 1 s

  Scenario: A region that cannot reach the store gets a configuration across by a few copies
    Given 8 nodes in region "east" and 40 in region "west"
    When the store turns all nodes of "west" away
    And configuration 11 adds a route
    Then all nodes have configuration 11 within 2 s
    And at most 6 copies of the rows came from another region

  Scenario: A node whose configuration peers confirm answers 404 although the store turns it away
    Given 4 nodes in region "east" and 0 in region "west"
    When the store turns "east-0" away
    Then 10 s later "east-0" answers a request for an unknown route with 404

  Scenario: An answer of the store that is older than the rows of a peer reverts nothing
    Given 4 nodes in region "east" and 0 in region "west"
    And answers of the store reach "east-0" 1.5 s late
    When "east-1" is evacuated
    And after 0.1 s the evacuation ends and configuration 11 adds a route
    Then "east-0" knows both within 1 s
    And for 4 s it never goes back

  Scenario: Rows of a peer are taken only in the era of the own store
    Given 4 nodes in region "east" and 0 in region "west"
    And the store was restored from a copy, which "east-0" does not know since the store turns it away
    When configuration 11 adds a route
    Then "east-0" has configuration 10 after 2 s, and refuses the new route with 503
    When the store answers "east-0" again
    Then all nodes have configuration 11 within 1 s

  Scenario: The configuration of a fleet costs few messages while nothing changes
    Given 20 nodes in region "east" and 20 in region "west"
    Then in 10 s each node sends at most 25 messages, and no rows
