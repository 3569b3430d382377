Feature: A process follows the control stream and reports the age of its evidence

  Each title names the failure that its scenario guards against and its cause.

  Background:
    Given a log whose config stream declares job "sync"
    And 2 processes that follow the log
    And 5 seconds pass

  Scenario: A fleet that starts with an empty log adopts no manifest
    Then the ledger of process 1 has adopted version 1
    And the evidence of processes "1 2" is at most 2 seconds old

  Scenario: Each process of a fleet appends its own Adopt for the same manifest
    Given 9 processes that follow the log
    And 5 seconds pass
    When version 2 is published on base 1 with jobs "sync check"
    And 5 seconds pass
    Then version 2 is adopted by at most 3 records

  Scenario: A manifest is not adopted because the acknowledgement of an append is lost
    Given the log loses 2 answers
    When version 2 is published on base 1 with jobs "sync check"
    And 20 seconds pass
    Then the ledger of process 1 has adopted version 2

  Scenario: A process appends an Adopt each second because appends are slow
    Given the log answers appends after 5 seconds
    When version 2 is published on base 1 with jobs "sync check"
    And 20 seconds pass
    Then version 2 is adopted by at most 2 records

  @resume-once
  Scenario: A job that is removed and declared again between two polls counts as the same job
    When version 2 is published on base 1 with jobs "check"
    And version 3 is published on base 2 with jobs "check sync"
    And 5 seconds pass
    Then the jobs of process 1 are "check@2 sync@3"

  Scenario: A process decides or reports fresh evidence while an Adopt waits for its manifest
    Given process 2 is cut off from the log
    When version 2 is published on base 1 with jobs "check"
    And 5 seconds pass
    And process 1 relays its records to process 2
    Then process 2 is not deciding because "a control record waits for its manifest"
    When process 1 relays its evidence to process 2
    Then the evidence of process 2 is at least 5 seconds old
    When process 1 relays its manifest to process 2
    And process 1 relays its evidence to process 2
    Then the jobs of process 2 are "check@2"
    And the evidence of processes "2" is at most 2 seconds old

  Scenario: Relayed records are folded although earlier records are missing
    Given process 2 is cut off from the log
    When worker "w1" is recorded
    And worker "w2" is recorded
    And 10 seconds pass
    Then records after the first new one are refused by process 2
    When process 1 relays its evidence to process 2
    Then the evidence of process 2 is at least 10 seconds old
    When process 1 relays its records to process 2
    Then the workers of process 2 are "w1 w2"
    When process 2 reaches the log again
    And worker "w3" is recorded
    And 6 seconds pass
    Then the workers of process 2 are "w1 w2 w3"
    And process 2 was notified of 3 accepted workers

  Scenario: A process that starts during a log outage cannot use the state of a peer
    Given process 3 starts without the log
    And 20 seconds pass
    Then process 3 is not restored because "the log can't be read"
    When process 3 gets the state of process 1
    Then the ledger of process 3 has adopted version 1
    When process 3 reaches the log again
    And worker "w1" is recorded
    And 6 seconds pass
    Then the workers of process 3 are "w1"
    And the evidence of processes "3" is at most 2 seconds old

  Scenario: A process starts without the records that the log has trimmed
    When worker "w1" is recorded
    And worker "w2" is recorded
    And 2 seconds pass
    And only 1 record of "control" is kept
    And process 3 starts
    And 20 seconds pass
    Then process 3 is not restored because "control is past retention and no snapshot reaches it"
    When process 3 gets the state of process 1
    And 6 seconds pass
    Then the workers of process 3 are "w1 w2"
    And the evidence of processes "3" is at most 2 seconds old

  Scenario: A snapshot ends before the remaining log, or lacks the manifest
    When worker "w1" is recorded
    And 2 seconds pass
    And process 1 becomes the writer of snapshots
    And 5 seconds pass
    And worker "w2" is recorded
    And only 1 record of "control" is kept
    And only 0 record of "config" is kept
    And process 3 starts
    And 6 seconds pass
    Then the workers of process 3 are "w1 w2"
    And the jobs of process 3 are "sync@1"
    And version 1 is in force in process 3
    And the evidence of processes "3" is at most 2 seconds old

  Scenario: A process stays behind because it was cut off for longer than the log keeps records
    Given process 2 is cut off from the log
    When worker "w1" is recorded
    And worker "w2" is recorded
    And 5 seconds pass
    And only 1 record of "control" is kept
    And process 2 reaches the log again
    And 30 seconds pass
    Then the evidence of process 2 is at least 30 seconds old
    When process 1 becomes the writer of snapshots
    And 10 seconds pass
    Then the workers of process 2 are "w1 w2"
    And the evidence of processes "2" is at most 2 seconds old

  Scenario: A snapshot that ends before the remaining log is restored or read over and over
    When process 1 becomes the writer of snapshots
    And 5 seconds pass
    And process 2 is cut off from the log
    And worker "w1" is recorded
    And worker "w2" is recorded
    And 5 seconds pass
    And only 1 record of "control" is kept
    And process 2 reaches the log again
    And 60 seconds pass
    Then process 2 was restored 1 time
    And the evidence of process 2 is at least 60 seconds old
    And the snapshot was read at most 2 times

  Scenario: A process whose config stream was trimmed returns to the older ledger of a snapshot
    Given process 2 is cut off from the log
    When version 2 is published on base 1 with jobs "check"
    And 5 seconds pass
    And process 1 becomes the writer of snapshots
    And 5 seconds pass
    And worker "w1" is recorded
    And 2 seconds pass
    And process 1 relays its manifest to process 2
    And process 1 relays its records to process 2
    And only 0 record of "config" is kept
    And process 2 reaches the log again
    And 10 seconds pass
    Then process 2 was restored 1 time
    And the workers of process 2 are "w1"
    And the evidence of processes "2" is at most 2 seconds old

  Scenario: A snapshot is incomplete because the log was down while it was written
    Given the log is down
    When process 1 becomes the writer of snapshots
    And 10 seconds pass
    And the log comes back
    And 10 seconds pass
    And process 3 starts
    And 5 seconds pass
    Then process 3 was restored from a snapshot

  Scenario: A snapshot is incomplete because an acknowledgement was lost while it was written
    Given the log loses 1 answers
    When process 1 becomes the writer of snapshots
    And 10 seconds pass
    And process 3 starts
    And 5 seconds pass
    Then process 3 was restored from a snapshot

  Scenario: Snapshots are written too often, or too rarely for the retention of the log
    When process 1 becomes the writer of snapshots
    And 3600 seconds pass
    Then process 1 has written between 8 and 11 snapshots
    And process 2 has written between 0 and 0 snapshots

  Scenario: A restart reads too many records because no snapshot is written during a burst
    When process 1 becomes the writer of snapshots
    And 5 seconds pass
    And 20000 capacity records are recorded
    And 30 seconds pass
    Then process 1 has written between 2 and 2 snapshots

  Scenario: A reader reaches verdicts or reports fresh evidence after a record of a newer version
    When a record of a newer version is recorded
    And 20 seconds pass
    Then process 1 is not deciding because "a control record has the newer version 2"
    And the evidence of process 1 is at least 20 seconds old
    And the ledger of process 1 has adopted version 1
