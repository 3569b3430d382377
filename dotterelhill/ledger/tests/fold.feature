Feature: every reader of the control stream reaches the same verdicts

  Background:
    Given a ledger whose manifest 3 declares job "sync" with 3 tasks of 4 processors
    And worker "w1" with 10 processors in "kbh-nord"
    And worker "w2" with 64 processors in "roskilde"
    And "kbh-1/a" has joined "kbh-nord"
    And "kbh-2/a" has joined "kbh-nord"

  @capacity
  Scenario: two schedulers that both see free processors overcommit a worker
    Given task "sync@3/0" attempt 1 runs on "w1"
    And task "sync@3/1" attempt 1 runs on "w1"
    When task "sync@3/2" attempt 1 is assigned to "w1"
    Then the record is refused as "capacity_exceeded"
    And worker "w1" has 2 processors free

  @capacity
  Scenario: a worker that reports less than is reserved gets another task
    Given task "sync@3/0" attempt 1 runs on "w1"
    When worker "w1" reports 6 processors in "kbh-nord"
    And task "sync@3/1" attempt 1 is assigned to "w1"
    Then the record is refused as "capacity_exceeded"

  @capacity
  Scenario: two schedulers together exceed the voted quota of a team
    When manifest 4 declares job "sync" with 6 tasks of 4 processors
    And task "sync@3/0" attempt 1 is assigned to "w2"
    And task "sync@3/1" attempt 1 is assigned to "w2"
    And task "sync@3/2" attempt 1 is assigned to "w2"
    And task "sync@3/3" attempt 1 is assigned to "w2"
    And task "sync@3/4" attempt 1 is assigned to "w2"
    Then the record is accepted
    When task "sync@3/5" attempt 1 is assigned to "w2"
    Then the record is refused as "quota_exceeded"

  @single-place
  Scenario: two schedulers assign one task to two workers
    Given task "sync@3/0" attempt 1 runs on "w1"
    When task "sync@3/0" attempt 1 is assigned to "w2"
    Then the record is refused as "task_not_pending"

  @single-place
  Scenario: a task has a second name
    Given task "sync@3/0" attempt 1 runs on "w1"
    When task "sync@3/00" attempt 1 is assigned to "w2"
    Then the record is refused as "job_not_open"

  @single-place
  Scenario Outline: a task is called lost while its worker may still run it
    Given "kbh-1/a" holds "worker:w1" after token 0
    And task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "lost"
    Then the record is refused as "loss_not_certain"
    When <certainty>
    And the run of "sync@3/0" stops as "lost"
    Then the record is accepted
    And task "sync@3/0" is "pending" with attempt 2

    Examples:
      | certainty                                      |
      | worker "w1" is fenced with token 6             |
      | manifest 4 attests worker "w1" as lost         |
      | manifest 4 puts "kbh-nord" in state "lost"     |

  @single-place
  Scenario: a holder that was replaced fences a worker of its successor
    Given "kbh-1/a" holds "worker:w1" after token 0
    And "kbh-2/a" holds "worker:w1" after token 6
    When worker "w1" is fenced with token 6
    Then the record is refused as "token_outdated"
    When worker "w1" is fenced with token 7
    Then the record is accepted
    When task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_fenced"
    When worker "w1" is unfenced with token 7
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is accepted

  @resume-once
  Scenario: an evicted task is resumed twice by schedulers that both read its stop
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    And the same record is appended again
    Then the record is refused as "token_outdated"
    When task "sync@3/0" attempt 2 is resumed from "c7" on "w2"
    Then the record is accepted
    When task "sync@3/0" attempt 2 is resumed from "c7" on "w1"
    Then the record is refused as "task_not_pending"
    And task "sync@3/0" is "running" with attempt 2

  @resume-once
  Scenario: a late repeat of the first assignment starts an evicted task from its beginning
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "attempt_outdated"
    When task "sync@3/0" attempt 2 is assigned to "w1"
    Then the record is refused as "checkpoint_differs"

  @resume-once
  Scenario: a late stop of the first run ends the second one
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "evicted"
    And task "sync@3/0" attempt 2 is assigned to "w2"
    And the run with token 6 of "sync@3/0" stops as "finished"
    Then the record is refused as "token_outdated"
    And task "sync@3/0" is "running" with attempt 2

  Scenario: a finished task of a job that is removed and declared again stays finished
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "finished"
    And task "sync@3/0" attempt 2 is assigned to "w1"
    Then the record is refused as "task_not_pending"
    When manifest 4 removes job "sync"
    Then the ledger keeps nothing of job "sync@3"
    When manifest 5 declares job "sync" with 1 tasks of 4 processors
    Then task "sync@5/0" is "pending" with attempt 1
    When task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "job_not_open"

  Scenario: the runs of a removed job are forgotten before they are over
    Given task "sync@3/0" attempt 1 runs on "w1"
    When manifest 4 removes job "sync"
    Then the unwanted runs are "sync@3/0"
    And worker "w1" has 6 processors free
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    Then the ledger keeps nothing of job "sync@3"
    And worker "w1" has 10 processors free

  Scenario: a cancelled or shortened job starts more tasks
    Given task "sync@3/2" attempt 1 runs on "w1"
    When manifest 4 declares job "sync" with 2 tasks of 4 processors
    Then the unwanted runs are "sync@3/2"
    When manifest 5 cancels job "sync"
    And task "sync@3/1" attempt 1 is assigned to "w1"
    Then the record is refused as "job_not_open"

  @resume-once
  Scenario: a job that is shortened and lengthened again forgets what its tasks did
    Given task "sync@3/0" attempt 1 runs on "w1"
    And task "sync@3/2" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "finished"
    And the run of "sync@3/2" leaves checkpoint "c7" and stops as "evicted"
    And manifest 4 declares job "sync" with 1 tasks of 4 processors
    And manifest 5 declares job "sync" with 4 tasks of 4 processors
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "task_not_pending"
    When task "sync@3/2" attempt 1 is assigned to "w1"
    Then the record is refused as "attempt_outdated"
    When task "sync@3/2" attempt 2 is resumed from "c7" on "w1"
    Then the record is accepted

  @domain-out
  Scenario: a task is assigned to a failure domain that was taken out
    When manifest 4 puts "kbh-nord" in state "out"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "domain_not_in"

  Scenario: a task is assigned to a worker that operators attest as switched off
    When manifest 4 attests worker "w1" as lost
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_unknown"
    When worker "w1" reports 10 processors in "kbh-nord"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_attested_lost"

  Scenario: two incarnations hold one minion
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "kbh-2/a" holds "minion:m1" after token 0
    Then the record is refused as "token_outdated"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" without a release before
    When "minion:m1" is released with token 6
    Then the record is refused as "token_outdated"

  Scenario: a late repeat of the first hold takes a minion that was released
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "minion:m1" is released with token 6
    And "kbh-1/a" holds "minion:m1" after token 0
    Then the record is refused as "token_outdated"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" and follows a release

  Scenario: the successor of a replaced process starts as if it had been told of the release
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "kbh-1/b" joins "kbh-nord"
    Then "kbh-1/a" is no longer joined
    When "kbh-1/a" holds "minion:m1" after token 6
    Then the record is refused as "not_joined"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" without a release before

  Scenario: a late repeat of a join revives an ended incarnation
    When "kbh-1/a" leaves
    And "kbh-1/b" joins "kbh-nord"
    And "kbh-1/a" joins "kbh-nord"
    Then the record is refused as "incarnation_known"

  @manifest
  Scenario: an old process adopts an old manifest again
    When manifest 4 cancels job "sync"
    And manifest 3 is adopted
    Then the record is refused as "version_not_above"

  Scenario: records after an adoption are judged before its manifest is known
    When manifest 4 is adopted
    Then the record is "waits_for_manifest"
    When manifest 4 becomes known and the record is offered again
    Then the record is accepted

  Scenario Outline: a torn record stops or changes a reader
    When a record is torn after <bytes> bytes
    Then the record is "unreadable"
    And 1 record is counted as unreadable
    When "kbh-1/a" leaves
    Then the record is accepted

    Examples:
      | bytes |
      | 0     |
      | 3     |
      | 12    |

  Scenario Outline: a record with an impossible amount ends every reader
    When worker "w1" reports <cpu> processors in "kbh-nord"
    Then the record is refused as "capacity_invalid"
    And worker "w1" has 10 processors free

    Examples:
      | cpu   |
      | nan   |
      | inf   |
      | -1    |
      | 1e300 |

  Scenario: a record with very deep nesting ends every reader
    When a record of 100000 nested arrays arrives
    Then the record is "unreadable"
    When a record with 100000 nested arrays at its end arrives
    Then the record is "unreadable"

  Scenario: a reader decides after a record whose meaning it does not know
    When a record of version 2 arrives
    Then the record is "newer_version"
    When "kbh-1/a" leaves
    Then the record is "newer_version"

  Scenario: a record type keeps its version where a reader does not look
    Then every record type has its version in the second place

  Scenario: a reader takes an unknown record of a newer version for a torn one
    When an unknown record type of version 2 arrives
    Then the record is "newer_version"
