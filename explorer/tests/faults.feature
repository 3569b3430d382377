Feature: The search finds faults that are put in on purpose

  Scenario Outline: A search that no longer finds <fault> can't guard against it
    Given the fault "<fault>"
    When seeds <seed> to <seed> are walked for 250 steps each
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
