Feature: A slice has at most one owner and is served again soon after a loss

  Scenario Outline: The dangerous schedule of a lease rule gives two owners only without the rule
    When the dangerous schedule of lease rule "<rule>" runs with and without the rule
    Then only the run without the lease rule has two owners

    Examples:
      | rule                     |
      | count_from_send          |
      | grant_only_while_valid   |
      | owner_changes_guard      |
      | wait_after_duties        |
      | wait_from_read           |
      | wait_from_grant          |
      | clock_margin             |
      | version_as_read          |
      | grant_bound_to_version   |
      | no_count_while_changing  |
      | change_ends_on_newer_row |
      | refuse_during_takeover   |
      | refuse_while_unknown     |
      | limit_after_self_guard   |
      | self_guard_untouchable   |
      | conditional_recovery     |
      | hold_until_known         |

  Scenario: Every lease rule has a dangerous schedule
    Then each lease rule that can be left out has a dangerous schedule

  Scenario: Random schedules of faults never give a slice two owners or lose it
    When 150 random lease schedules run
    Then no lease schedule has two owners or lost slices

  # Guards against a next process that does not know what the killed one has sent or learned.
  Scenario: Random schedules in which senders of writes are killed never give a slice two owners or lose it
    When 150 random lease schedules run in which senders are killed before or after their writes take effect
    Then no lease schedule has two owners or lost slices

  Scenario: Faults and operations in any order never give a slice two owners or lose it
    Then the stateful lease model finds no violation

  Scenario Outline: Keys are served again within 5 s of a loss
    When the lease model loses "<loss>"
    Then all slices are served again within 5 s by one owner each

    Examples:
      | loss                       |
      | one node                   |
      | owner and guard            |
      | chain of three             |
      | one failure domain         |
      | all leases lapsed          |

  Scenario: A store outage of 60 s loses no ownership
    When the lease model loses "store outage of 60 s"
    Then no slice was unserved during the store outage

  Scenario: A grant survives the addition of slices
    When a node with a valid lease receives slices
    Then its lease row has the same version and its grants still count

  Scenario: A new guard is asked without waiting for the renewal interval
    Then a renewal is due at once after a change of its row and soon after a refusal

  Scenario Outline: A lease holder counts only grants that it may count
    When a lease holder meets "<events>"
    Then its lease is <state>

    Examples:
      | events                                      | state   |
      | adopt g                                     | invalid |
      | adopt g, ask, grant                         | valid   |
      | adopt g, ask, grant, wait 1.4               | valid   |
      | adopt g, ask, grant, wait 1.5               | invalid |
      | adopt g, ask, wait 1.6, grant               | invalid |
      | adopt g, ask, wait 1, grant, wait 0.6       | invalid |
      | adopt g, ask, grant, ask, refuse            | valid   |
      | adopt g, ask, refuse, grant                 | invalid |
      | adopt g, ask, grant other version           | invalid |
      | adopt g, grant                              | invalid |
      | adopt g, ask, change, grant                 | valid   |
      | adopt g, change, ask, grant                 | invalid |
      | adopt g, change, unknown, ask, grant        | invalid |
      | adopt g, change, adopt old, ask, grant      | invalid |
      | adopt g, change, ask, adopt h, grant        | invalid |
      | adopt g, change, adopt h, ask, grant        | valid   |
      | adopt g, change, failed, ask, grant         | valid   |
      | adopt g, ask, grant, lost                   | invalid |
      | adopt g, lost, adopt h, ask, grant          | invalid |
      | adopt g, ask, grant, adopt other            | invalid |
      | adopt g, ask, grant, delete                 | invalid |
      | adopt g, ask, grant, delete old             | valid   |
      | adopt self, wait 1000                       | valid   |
      | adopt self, change, wait 1.6                | invalid |
      | adopt self, change, wait 1.6, failed        | valid   |
      | adopt self, change, adopt h, wait 1.4       | valid   |
      | adopt self, change, adopt h, wait 1.6       | invalid |
      | adopt self, adopt other                     | invalid |
      | adopt self, change, delete, failed          | invalid |

  Scenario Outline: A guard grants and takes over only when no other grant can be in force
    When a guard table meets "<events>"
    Then the last guard event gave "<outcome>"

    Examples:
      | events                                                          | outcome           |
      | read 1 g, renew 1                                               | granted           |
      | renew 1                                                         | unknown_version   |
      | read 1 h, renew 1                                               | not_guard         |
      | read 2 g, renew 1                                               | old_version       |
      | read 1 g, renew 2                                               | unknown_version   |
      | read 1 g, renew 1 other                                         | other_incarnation |
      | read 1 g, renew 1 lapsed                                        | own_lease_invalid |
      | read 1 g, read 2 h, renew 1                                     | not_guard         |
      | read 2 h, read 1 g, renew 1                                     | not_guard         |
      | read 1 g, deleted 2, renew 1                                    | not_guard         |
      | deleted 2, read 1 g, renew 1                                    | not_guard         |
      | own 1, read 1 g, own deleted 2, renew 1                         | not_guard         |
      | own 1, read 1 g, own restarted 2, renew 1                       | not_guard         |
      | read 1 g, wait 1.5, due                                         | not due           |
      | read 1 g, wait 1.52, due                                        | due               |
      | read 1 g, wait 1.4, renew 1, wait 1.4, due                      | not due           |
      | read 1 g, wait 1.4, read 1 g, wait 0.2, due                     | due               |
      | read 1 g, wait 1.4, read 2 g, wait 0.2, due                     | not due           |
      | read 1 g, wait 1.6, due lapsed                                  | not due           |
      | read 1 g, due, wait 1.4, renew 1 lapsed, due, wait 0.5, due     | not due           |
      | read 1 g, due, wait 1.4, renew 1 lapsed, due, wait 0.7, due, wait 0.2, due | due    |
      | read 1 g, due, wait 1.6, due                                    | not due           |
      | read 1 g, due, wait 1.6, due, wait 0.7, due, wait 0.1, due      | due               |
      | read 1 g, wait 1.6, due, take                                   | started           |
      | read 1 g, wait 1.6, take                                        | not started       |
      | read 1 g, wait 1.6, due, renew 1, take                          | not started       |
      | read 1 g, wait 1.6, due, read 2 h, take                         | not started       |
      | read 1 g, wait 1.6, due, take, renew 1                          | takeover_started  |
      | read 1 g, wait 1.6, due, take, due                              | not due           |
      | read 1 g, wait 1.6, due, take, end unknown, renew 1             | takeover_started  |
      | read 1 g, wait 1.6, due, take, end no, renew 1                  | granted           |
      | read 1 g, wait 1.6, due, take, end no, due                      | due               |
      | read 1 g, wait 1.6, due, take, end unknown, read 2 g, renew 2   | granted           |
      | read 1 g, wait 1.6, due, take, end yes, renew 1                 | not_guard         |
