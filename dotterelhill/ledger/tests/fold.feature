Feature: Every reader of the control stream reaches the same verdicts

  Each title names the failure that its scenario guards against and its cause.

  Background:
    Given a ledger whose manifest 3 declares job "sync" with 3 tasks of 4 processors
    And worker "w1" with 10 processors in "kbh-nord"
    And worker "w2" with 64 processors in "roskilde"
    And "kbh-1/a" has joined "kbh-nord"
    And "kbh-2/a" has joined "kbh-nord"

  @capacity
  Scenario: Two schedulers overcommit a worker because both see the same free processors
    Given task "sync@3/0" attempt 1 runs on "w1"
    And task "sync@3/1" attempt 1 runs on "w1"
    When task "sync@3/2" attempt 1 is assigned to "w1"
    Then the record is refused as "capacity_exceeded"
    And worker "w1" has 2 processors free

  @capacity
  Scenario: A worker gets another task after it reports less capacity than is reserved
    Given task "sync@3/0" attempt 1 runs on "w1"
    When worker "w1" reports 6 processors in "kbh-nord"
    And task "sync@3/1" attempt 1 is assigned to "w1"
    Then the record is refused as "capacity_exceeded"

  @capacity
  Scenario: Two schedulers together exceed the voted quota of a team
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
  Scenario: A task runs on two workers because two schedulers assign it
    Given task "sync@3/0" attempt 1 runs on "w1"
    When task "sync@3/0" attempt 1 is assigned to "w2"
    Then the record is refused as "task_not_pending"

  @single-place
  Scenario: A task runs twice because its index can be written in two ways
    Given task "sync@3/0" attempt 1 runs on "w1"
    When task "sync@3/00" attempt 1 is assigned to "w2"
    Then the record is refused as "job_not_open"

  @single-place
  Scenario Outline: A task is recorded as lost while its worker may still run it
    Given "kbh-1/a" holds "worker:w1" after token 0
    And task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "lost"
    Then the record is refused as "loss_not_certain"
    When <certainty>
    And the run of "sync@3/0" is lost under the fence of token 6
    Then the record is accepted
    And task "sync@3/0" is "pending" with attempt 2

    Examples:
      | certainty                                      |
      | worker "w1" is fenced with token 6             |
      | manifest 4 attests worker "w1" as lost         |
      | manifest 4 puts "kbh-nord" in state "lost"     |

  @single-place
  Scenario: A delayed loss from an earlier holder is accepted under the fence of its successor
    Given "kbh-1/a" holds "worker:w1" after token 0
    And task "sync@3/0" attempt 1 runs on "w1"
    And "kbh-2/a" holds "worker:w1" after token 6
    When worker "w1" is fenced with token 8
    And the run of "sync@3/0" is lost under the fence of token 6
    Then the record is refused as "loss_not_certain"
    When the run of "sync@3/0" is lost under the fence of token 8
    Then the record is accepted

  @single-place
  Scenario: A superseded holder fences a worker that its successor holds
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
  Scenario: An evicted task is resumed twice because two schedulers read its stop
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
  Scenario: An evicted task starts from its beginning because of a late duplicate of its first assignment
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "attempt_outdated"
    When task "sync@3/0" attempt 2 is assigned to "w1"
    Then the record is refused as "checkpoint_differs"

  @resume-once
  Scenario: The second run of a task ends because of a late stop of the first run
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "evicted"
    And task "sync@3/0" attempt 2 is assigned to "w2"
    And the run with token 6 of "sync@3/0" stops as "finished"
    Then the record is refused as "token_outdated"
    And task "sync@3/0" is "running" with attempt 2

  Scenario: A task stays finished after its job is removed and declared again as a new job
    Given task "sync@3/0" attempt 1 runs on "w1"
    When the run of "sync@3/0" stops as "finished"
    And task "sync@3/0" attempt 2 is assigned to "w1"
    Then the record is refused as "task_not_pending"
    When manifest 4 removes job "sync"
    Then the ledger has no state of job "sync@3"
    When manifest 5 declares job "sync" with 1 tasks of 4 processors
    Then task "sync@5/0" is "pending" with attempt 1
    When task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "job_not_open"

  Scenario: The runs of a removed job and their reservations are dropped before the runs end
    Given task "sync@3/0" attempt 1 runs on "w1"
    When manifest 4 removes job "sync"
    Then the unwanted runs are "sync@3/0"
    And worker "w1" has 6 processors free
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    Then the ledger has no state of job "sync@3"
    And worker "w1" has 10 processors free

  Scenario: A job starts tasks that a newer manifest cancels or no longer declares
    Given task "sync@3/2" attempt 1 runs on "w1"
    When manifest 4 declares job "sync" with 2 tasks of 4 processors
    Then the unwanted runs are "sync@3/2"
    When manifest 5 cancels job "sync"
    And task "sync@3/1" attempt 1 is assigned to "w1"
    Then the record is refused as "job_not_open"

  @resume-once
  Scenario: A job loses the progress of its tasks when its number of tasks is reduced and raised again
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
  Scenario: A task is assigned to a worker in a failure domain in state "out"
    When manifest 4 puts "kbh-nord" in state "out"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "domain_not_in"

  Scenario: A task is assigned to a worker that the manifest attests as lost
    When manifest 4 attests worker "w1" as lost
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_unknown"
    When worker "w1" reports 10 processors in "kbh-nord"
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_attested_lost"

  Scenario: Two incarnations hold the same minion because both claim it
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "kbh-2/a" holds "minion:m1" after token 0
    Then the record is refused as "token_outdated"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" without a release before
    When "minion:m1" is released with token 6
    Then the record is refused as "token_outdated"

  Scenario: A released minion is held again because of a late duplicate of the first Hold
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "minion:m1" is released with token 6
    And "kbh-1/a" holds "minion:m1" after token 0
    Then the record is refused as "token_outdated"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" and follows a release

  Scenario: The successor of a replaced process treats its holding as released
    Given "kbh-1/a" holds "minion:m1" after token 0
    When "kbh-1/b" joins "kbh-nord"
    Then "kbh-1/a" is no longer joined
    When "kbh-1/a" holds "minion:m1" after token 6
    Then the record is refused as "not_joined"
    When "kbh-2/a" holds "minion:m1" after token 6
    Then "minion:m1" is held by "kbh-2/a" without a release before

  Scenario: An ended incarnation joins again because of a late duplicate of its Join
    When "kbh-1/a" leaves
    And "kbh-1/b" joins "kbh-nord"
    And "kbh-1/a" joins "kbh-nord"
    Then the record is refused as "incarnation_known"

  @manifest
  Scenario: An outdated process adopts an older manifest again
    When manifest 4 cancels job "sync"
    And manifest 3 is adopted
    Then the record is refused as "version_not_above"

  Scenario: Records after an adoption get a verdict before its manifest is known
    When manifest 4 is adopted
    Then the record is "waits_for_manifest"
    When manifest 4 becomes known and the record is offered again
    Then the record is accepted

  Scenario Outline: A reader stops or changes its state because of a torn record
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

  Scenario Outline: Every reader crashes because of a record with an impossible amount
    When worker "w1" reports <cpu> processors in "kbh-nord"
    Then the record is refused as "capacity_invalid"
    And worker "w1" has 10 processors free

    Examples:
      | cpu   |
      | nan   |
      | inf   |
      | -1    |
      | 1e300 |

  Scenario: Every reader crashes because of a deeply nested record
    When a record of 100000 nested arrays arrives
    Then the record is "unreadable"
    When a record with 100000 nested arrays at its end arrives
    Then the record is "unreadable"

  Scenario: A reader reaches verdicts after a record of a newer version
    When a record of version 2 arrives
    Then the record is "newer_version"
    When "kbh-1/a" leaves
    Then the record is "newer_version"

  Scenario: A reader misses the version of a record because the type encodes it at another place
    Then every record type has its version in the second place

  Scenario: A reader treats an unknown record type of a newer version as a torn record
    When an unknown record type of version 2 arrives
    Then the record is "newer_version"
