Feature: The stand-in of the platform's store can be restored from a copy
  Guards against trials of the router on a store that forgets less, or other things, than the published one.

  Scenario: A restored store has the rows, deletions and versions of the copy
    Given a stand-in of the platform's store
    When the row "a" is written, "b" is written, and "b" is deleted
    And 0.3 s later "a" is written, "b" is written, and "c" is written
    And the store is restored from a copy that is 0.15 s old
    Then the store has the row "a" of version 1 and its newest version is 3
    And a feed after version 0 has the versions 1, 2 and 3, the last one a deletion
    And the next transaction gets version 4

  Scenario Outline: A store that is about to be restored is <how>
    Given a stand-in of the platform's store
    When the store is restored from a copy that is 1 s old after 0.4 s in which it is <how>
    Then a read gets <outcome> within 0.2 s, and 200 after 0.5 s

    Examples:
      | how    | outcome   |
      | silent | no answer |
      | down   | 503       |

  Scenario Outline: A feed that waits when the store is lost ends with <outcome> if the store is <how>
    Given a stand-in of the platform's store
    And a feed that waits for changes
    When the store is restored from a copy that is 1 s old after 0.2 s in which it is <how>
    And 0.4 s later "a" is written
    Then the feed ends with <outcome>

    Examples:
      | how    | outcome          |
      | silent | no answer        |
      | down   | a cut connection |

  Scenario: All answers of a restored store have an era that rises by one
    Given a stand-in of the platform's store
    Then the era in the answers 200, 404, 410, 412 and 503 is 1
    When the store is restored from a copy that is 1 s old
    Then the era in the answers 200, 404, 410, 412 and 503 is 2
    When the store is restored from a copy that is 1 s old
    Then the era in the answers 200, 404, 410, 412 and 503 is 3

  Scenario: A feed after a version that the restored store does not have gets 410
    Given a stand-in of the platform's store
    When the row "a" is written, "b" is written, and "b" is deleted
    And 0.3 s later "a" is written, "b" is written, and "c" is written
    And the store is restored from a copy that is 0.15 s old
    Then feeds after the versions 0, 2 and 3 get 200
    And feeds after the versions 4, 5 and 6 get 410

  Scenario: A feed after a version from before the history of the restored store gets 410
    Given a stand-in of the platform's store
    When the row "a" is written, "b" is written, and "b" is deleted
    And the store is restored without history from a copy that is 0 s old
    Then feeds after the versions 0, 1 and 2 get 410
    And feeds after the versions 3, 3 and 3 get 200

  Scenario: What the operator wrote since the copy is written again to the restored store
    Given a stand-in of the platform's store
    When the operator writes "config" as "r3", and "evacuate/z" as "{}"
    And 0.3 s later the operator writes "config" as "r6", and deletes "evacuate/z"
    And the store is restored from a copy that is 0.15 s old, and the operator writes again 0.3 s later
    Then the operator's row "config" is "r3" with version 1, and "evacuate/z" is there
    And 0.4 s later "config" is "r6" with version 3, and "evacuate/z" is deleted with version 4

  Scenario: What the operator writes to the restored store is not replaced by older writes
    Given a stand-in of the platform's store
    When the operator writes "config" as "r3", and "evacuate/z" as "{}"
    And the store is restored from a copy that is 1 s old, and the operator writes again 0.2 s later
    And the operator writes "config" as "r6", and "evacuate/y" as "{}"
    Then 0.3 s later "config" is "r6" with version 1, and "evacuate/z" is there with version 3

  Scenario Outline: A delayed transaction that expects <expected> is performed on the restored store <times>
    Given a stand-in of the platform's store
    When the row "a" is written, "b" is written, and "b" is deleted
    And a transaction that expects "a" at version <version> and writes "late" is delayed
    And the store is restored from a copy that is <age> s old
    Then the row "late" gets version <written> within 7 s

    Examples:
      | expected             | times | version | age | written |
      | a row of the copy    | once  | 1       | 0   | 4       |
      | a row that is lost   | never | 1       | 9   | none    |
      | a row not yet there  | once  | 0       | 9   | 1       |

  Scenario: A store is restored twice in a row
    Given a stand-in of the platform's store
    When the operator writes "config" as "r3", and "evacuate/z" as "{}"
    And the store is restored from a copy that is 9 s old, and the operator writes again 0.2 s later
    And 0.1 s later the row "a" is written, "b" is written, and "b" is deleted
    And the store is restored from a copy that is 0.05 s old, and the operator writes again 0.2 s later
    Then a feed after version 0 has no changes
    And the store is in era 3
    And 0.4 s later "config" is "r3" with version 1, and "evacuate/z" is there with version 2

  Scenario: A copy from before an earlier restore has what that restore lost
    Given a stand-in of the platform's store
    When the row "a" is written, "b" is written, and "b" is deleted
    And 0.3 s later the store is restored from a copy that is 9 s old
    And the store is restored from a copy that is 0.15 s old
    Then the store has the row "a" of version 1 and its newest version is 3
