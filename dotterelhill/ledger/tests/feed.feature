Feature: a process knows the ledger, and knows how well it knows it

  Background:
    Given a log whose config stream declares job "sync"
    And 2 processes that follow the log
    And 5 seconds pass

  Scenario: a fleet that starts from nothing adopts no manifest
    Then the ledger of process 1 has adopted version 1
    And the evidence of processes "1 2" is at most 2 seconds old

  Scenario: each process of a fleet adopts the same manifest
    Given 9 processes that follow the log
    And 5 seconds pass
    When version 2 is published on base 1 with jobs "sync check"
    And 5 seconds pass
    Then version 2 is adopted by at most 3 records

  Scenario: a lost acknowledgement leaves a manifest without adoption
    Given the log loses 2 answers
    When version 2 is published on base 1 with jobs "sync check"
    And 20 seconds pass
    Then the ledger of process 1 has adopted version 2

  Scenario: a process repeats its adoption each second while appends are slow
    Given the log answers appends after 5 seconds
    When version 2 is published on base 1 with jobs "sync check"
    And 20 seconds pass
    Then version 2 is adopted by at most 2 records

  @resume-once
  Scenario: a job that is removed and declared again within one poll is the same job
    When version 2 is published on base 1 with jobs "check"
    And version 3 is published on base 2 with jobs "check sync"
    And 5 seconds pass
    Then the jobs of process 1 are "check@2 sync@3"

  Scenario: a process decides while an adoption waits for its manifest
    Given process 2 is cut off from the log
    When version 2 is published on base 1 with jobs "check"
    And 5 seconds pass
    And process 1 relays its records to process 2
    Then process 2 is not deciding since "a control record waits for its manifest"
    When process 1 relays its evidence to process 2
    Then the evidence of process 2 is at least 5 seconds old
    When process 1 relays its manifest to process 2
    And process 1 relays its evidence to process 2
    Then the jobs of process 2 are "check@2"
    And the evidence of processes "2" is at most 2 seconds old

  Scenario: relayed records with a gap are folded
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
    And process 2 was told of 3 accepted workers

  Scenario: a process starts in a log outage although a peer has the state
    Given process 3 starts without the log
    And 20 seconds pass
    Then process 3 is not restored since "the log can't be read"
    When process 3 gets the state of process 1
    Then the ledger of process 3 has adopted version 1
    When process 3 reaches the log again
    And worker "w1" is recorded
    And 6 seconds pass
    Then the workers of process 3 are "w1"
    And the evidence of processes "3" is at most 2 seconds old

  Scenario: a process starts with a hole where the log was trimmed
    When worker "w1" is recorded
    And worker "w2" is recorded
    And 2 seconds pass
    And only 1 record of "control" is kept
    And process 3 starts
    And 20 seconds pass
    Then process 3 is not restored since "control is past retention and no snapshot reaches it"
    When process 3 gets the state of process 1
    And 6 seconds pass
    Then the workers of process 3 are "w1 w2"
    And the evidence of processes "3" is at most 2 seconds old

  Scenario: a snapshot does not reach the tail or misses the manifest
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

  Scenario: a process that was cut off for longer than the retention stays behind
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

  Scenario: a snapshot that ends before the kept records is taken again and again
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

  Scenario: a process whose config was trimmed goes back to the control records of a snapshot
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

  Scenario: an outage spoils a snapshot
    Given the log is down
    When process 1 becomes the writer of snapshots
    And 10 seconds pass
    And the log comes back
    And 10 seconds pass
    And process 3 starts
    And 5 seconds pass
    Then process 3 was restored from a snapshot

  Scenario: a lost acknowledgement spoils a snapshot
    Given the log loses 1 answers
    When process 1 becomes the writer of snapshots
    And 10 seconds pass
    And process 3 starts
    And 5 seconds pass
    Then process 3 was restored from a snapshot

  Scenario: a writer writes too often, or too seldom for the retention
    When process 1 becomes the writer of snapshots
    And 3600 seconds pass
    Then process 1 has written between 8 and 11 snapshots
    And process 2 has written between 0 and 0 snapshots

  Scenario: a burst of records between two snapshots grows past what a restart should read
    When process 1 becomes the writer of snapshots
    And 5 seconds pass
    And 20000 capacity records are recorded
    And 30 seconds pass
    Then process 1 has written between 2 and 2 snapshots

  Scenario: a reader decides or claims evidence after a record that it does not know
    When a record of a newer version is recorded
    And 20 seconds pass
    Then process 1 is not deciding since "a control record has the newer version 2"
    And the evidence of process 1 is at least 20 seconds old
    And the ledger of process 1 has adopted version 1
