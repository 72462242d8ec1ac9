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
