Feature: What a process sent before it was killed does no harm to the next process on its VM
  Guards against promises that only the killed process knew of: writes that take effect late, and notices that it
  acknowledged.

  # Guards against two holders: the next process grants what a late write of the killed one gives away.
  Scenario Outline: A ring write that takes effect after its sender was killed gives no key two holders: <write>
    Then <write>, late by 1 to 6 s, gives no key two holders when its sender is killed and restarted

    Examples:
      | write                                              |
      | the handover of stripes to a new node              |
      | the handover by a node of an evacuated domain      |
      | the transfer of the stripes of a silent target     |
      | the takeover of the stripes of a lost node         |
      | the reassignment of the stripes of a new target    |
      | the settling of an earlier write that was not answered |

  # Guards against a target that gets requests again after its leaving was acknowledged, until it ends under them.
  Scenario Outline: A target that has left stays out of use for the next process: <report>, <moment>
    Given 4 nodes whose targets hold keys
    When <report> is acknowledged, and its router is killed and restarted <moment>
    And a heartbeat arrives that the target had sent before
    Then that target gets no more requests within 12 s
    And a new start of the target under its former name is in use within 4 s

    Examples:
      | report                            | moment      |
      | a notice with the target's start  | before that |
      | a notice without the target's start | before that |
      | a notice with the target's start  | at once     |
      | a notice without the target's start | at once     |
      | a notice with the target's start  | 6 s later   |
      | a heartbeat that reports draining | at once     |
      | a heartbeat that reports draining | 6 s later   |

  # Guards against a promise that only the process knows that made it.
  Scenario: A notice that cannot be stored is not acknowledged, and is once the store is back
    Given 4 nodes whose targets hold keys
    When the store turns all away while a target sends its notice again and again
    Then the notice is acknowledged within 2 s of the store's return, and not before
    And that target gets no more requests within 12 s
