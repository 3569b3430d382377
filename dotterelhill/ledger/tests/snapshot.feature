Feature: A ledger restored from a snapshot reaches the same verdicts as every other reader

  Each title names the failure that its scenario guards against and its cause.

  Background:
    Given a ledger whose manifest 3 declares job "sync" with 3 tasks of 4 processors
    And worker "w1" with 10 processors in "kbh-nord"
    And worker "w2" with 64 processors in "roskilde"
    And "kbh-1/a" has joined "kbh-nord"
    And "kbh-2/a" has joined "kbh-nord"
    And task "sync@3/0" attempt 1 runs on "w1"

  Scenario: A finished task is assigned again after a restart
    When the run of "sync@3/0" stops as "finished"
    And the ledger is restored from its snapshot
    And task "sync@3/0" attempt 1 is assigned to "w1"
    Then the record is refused as "task_not_pending"
    And task "sync@3/0" is "finished" with attempt 1

  @single-place @capacity
  Scenario: A restart loses a running task and its reservation
    When the ledger is restored from its snapshot
    And task "sync@3/0" attempt 1 is assigned to "w2"
    Then the record is refused as "task_not_pending"
    And worker "w1" has 6 processors free

  @resume-once
  Scenario: An evicted task starts from its beginning after a restart
    When the run of "sync@3/0" leaves checkpoint "c7" and stops as "evicted"
    And the ledger is restored from its snapshot
    And task "sync@3/0" attempt 2 is assigned to "w1"
    Then the record is refused as "checkpoint_differs"
    When task "sync@3/0" attempt 2 is resumed from "c7" on "w1"
    Then the record is accepted

  Scenario: A restart loses the holder of a minion
    Given "kbh-1/a" holds "minion:m1" after token 0
    When the ledger is restored from its snapshot
    And "kbh-2/a" holds "minion:m1" after token 0
    Then the record is refused as "token_outdated"
    And "minion:m1" is held by "kbh-1/a" and follows a release

  Scenario: A restart loses the end of an incarnation or the fence of a worker
    Given "kbh-1/a" holds "worker:w1" after token 0
    When worker "w1" is fenced with token 7
    And "kbh-1/a" leaves
    And the ledger is restored from its snapshot
    And "kbh-1/a" joins "kbh-nord"
    Then the record is refused as "incarnation_known"
    When task "sync@3/1" attempt 1 is assigned to "w1"
    Then the record is refused as "worker_fenced"

  Scenario: A restart loses the runs of a removed job
    When manifest 4 declares job "sync" with 1 tasks of 8 processors
    And manifest 5 removes job "sync"
    And the ledger is restored from its snapshot
    Then the unwanted runs are "sync@3/0"
    And worker "w1" has 6 processors free
    When the run of "sync@3/0" stops as "evicted"
    Then the ledger has no state of job "sync@3"
    And worker "w1" has 10 processors free

  Scenario: A restored reader and one that has read every record reach different verdicts
    Then restored readers agree in 60 random histories of 120 records

  Scenario: A reader uses an older snapshot because a paused writer finished it later
    When a snapshot is taken as "old"
    And the run of "sync@3/0" stops as "finished"
    And a snapshot is taken as "new"
    Then a reader of the chunks of "new old" selects "new"

  Scenario: A reader mixes the chunks of two snapshots that were written at the same time
    When a snapshot of 150000 bytes is taken as "a"
    And the run of "sync@3/0" stops as "finished"
    And a snapshot of 150000 bytes is taken as "b"
    Then a reader of the mixed chunks of "a b" selects "b"
    And each chunk of "b" has at most 65536 bytes

  Scenario Outline: A reader uses a snapshot that is incomplete, torn or of a newer version
    When a snapshot is taken as "old"
    And the run of "sync@3/0" stops as "finished"
    And a snapshot of 150000 bytes is taken as "new"
    And <fault> of "new"
    Then a reader of the chunks of "new old" selects "old"

    Examples:
      | fault                            |
      | the last chunk is missing        |
      | the last chunk is torn           |
      | a byte of the last chunk differs |
      | the digest is that of other data |
      | the format is a newer version    |
