Feature: the appender loses no record and does not flood the log

  Scenario: a lost acknowledgement loses the records
    Given an appender with a spacing of 0.1 seconds
    And the log loses 1 answers
    When 3 records are submitted
    And 5 seconds pass
    Then the stream holds records "0 1 2 0 1 2"
    And nothing is pending

  Scenario: an outage reorders or loses records
    Given an appender with a spacing of 0.1 seconds
    When the log goes down
    And 3 records are submitted
    And 60 seconds pass
    And 2 records are submitted
    And the log comes back
    And 6 seconds pass
    Then the stream holds records "0 1 2 3 4"

  Scenario: a burst takes more appends than the spacing allows
    Given an appender with a spacing of 0.1 seconds
    When 1200 records are submitted
    And 1 seconds pass
    Then the appends held "500 500 200" records, at least 0.1 seconds apart

  Scenario: a slow log gets several appends at once
    Given an appender with a spacing of 0.1 seconds
    And the log answers after 5 seconds
    When 3 records are submitted
    And 1 seconds pass
    And 3 records are submitted
    And 20 seconds pass
    Then at most 1 append was in flight
    And the stream holds records "0 1 2 3 4 5"

  Scenario: a long outage fills the memory
    Given an appender with a spacing of 0.1 seconds
    When the log goes down
    And 5000 records are submitted
    Then one more record is refused as "queue for stream 'control' is full: 5000 records wait for the log"

  Scenario: a record takes effect long after its writer gave it up
    Given an appender with a spacing of 0.1 seconds
    When the log goes down
    And 2 records are submitted that are not sent after 10 seconds
    And 1 seconds pass
    And 1 records are submitted that are not sent after 10 seconds
    And 1 records are submitted
    And 30 seconds pass
    And the log comes back
    And 6 seconds pass
    Then the stream holds records "3"

  Scenario: a record that expired behind a slow append is sent
    Given an appender with a spacing of 0.1 seconds
    And the log answers after 20 seconds
    When 1 records are submitted
    And 1 seconds pass
    And 1 records are submitted that are not sent after 10 seconds
    And 60 seconds pass
    Then the stream holds records "0"
