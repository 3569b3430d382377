Feature: Detection of injected faults by the search

  Scenario Outline: A change to the search stops it from detecting the fault <fault>
    Given code with the injected fault "<fault>"
    When walks of seeds <seed> to <seed> are run with 250 steps each
    Then the invariant "<invariant>" is broken

    Examples:
      | fault                       | seed | invariant    |
      | checkpoint-from-message     | 6    | resume-once  |
      | claim-not-read-back         | 2    | at-most-once |
      | fence-skipped               | 5    | capacity     |
      | finished-task-pending-again | 1    | ended-task   |
      | lapsed-lease-ignored        | 5    | single-place |
      | leaving-ignored             | 1    | leaving      |
      | manifest-by-arrival         | 3    | manifest     |
      | promise-ignored             | 18   | slots        |
      | restart-without-tail        | 1    | same-verdict |
      | takeover-without-wait       | 3    | slots        |
