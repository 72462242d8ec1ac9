Feature: An unusable entry of the operator's configuration costs no more than itself
  Guards against a configuration that is refused as a whole, or requests that run on another route's service or run
  twice, because of one field that this release does not know or cannot decode.

  Scenario Outline: Requests on a route <outcome> because of an odd field, and other routes are in force
    Given a gateway with 3 nodes to choose from
    Then with each odd field after which requests "<outcome>", they do, and each fault is named

    Examples:
      | outcome            |
      | are refused        |
      | are never repeated |
      | are served         |

  Scenario: A route whose prefix cannot be decoded keeps its place, so that no other route takes its requests
    Given a gateway with 3 nodes to choose from
    When a configuration with a route for all paths of the host is in force
    And in a newer one the longer route has a prefix that cannot be decoded
    Then requests below the former prefix get 503 and a Retry-After of 5 s, and others are served

  Scenario: Numbers that cannot be decoded keep their former values
    Given a configuration that is in force
    When in a newer one no number can be decoded
    Then the numbers of the former one hold, except that no request is repeated

  Scenario: A service that owned keys still does when the flag for it cannot be decoded
    Given a configuration that is in force
    When in a newer one the flag of the partitioned service is a text
    Then the service is partitioned

  Scenario: A split route refuses only the share of a service that cannot be used
    Given a gateway with 3 nodes to choose from
    When a route is split in halves, and the entry of one of the services cannot be used
    Then of 10 requests 5 are sent and 5 get 503

  Scenario: A node follows a configuration with an odd entry, and logs what it costs
    Given a node that follows the rows of the store
    When a configuration with a route of an unknown kind is written
    Then it is in force within 0.5 s, and one line names the route, the field and what follows from it
