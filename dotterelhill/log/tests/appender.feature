Feature: Batched appends lose no record and don't overload the log

  Scenario: Records are lost when the acknowledgement of their append is lost
    Given an appender with a spacing of 0.1 seconds
    And the log loses 1 answers
    When 3 records are submitted
    And 5 seconds pass
    Then the stream holds records "0 1 2 0 1 2"
    And nothing is pending

  Scenario: An outage of the log reorders or loses records
    Given an appender with a spacing of 0.1 seconds
    When the log becomes unavailable
    And 3 records are submitted
    And 60 seconds pass
    And 2 records are submitted
    And the log is available again
    And 6 seconds pass
    Then the stream holds records "0 1 2 3 4"

  Scenario: A burst of records causes more appends than the spacing allows
    Given an appender with a spacing of 0.1 seconds
    When 1200 records are submitted
    And 1 seconds pass
    Then the appends contained "500 500 200" records, at least 0.1 seconds apart

  Scenario: A slow log receives several appends at the same time
    Given an appender with a spacing of 0.1 seconds
    And the log answers after 5 seconds
    When 3 records are submitted
    And 1 seconds pass
    And 3 records are submitted
    And 20 seconds pass
    Then at most 1 append was in flight
    And the stream holds records "0 1 2 3 4 5"

  Scenario: The queue grows without limit during a long outage of the log
    Given an appender with a spacing of 0.1 seconds
    When the log becomes unavailable
    And 5000 records are submitted
    Then one more record is refused with "queue for stream 'control' is full: 5000 records wait for the log"

  Scenario: A record that expired during an outage of the log is appended afterwards
    Given an appender with a spacing of 0.1 seconds
    When the log becomes unavailable
    And 2 records are submitted that expire after 10 seconds
    And 1 seconds pass
    And 1 records are submitted that expire after 10 seconds
    And 1 records are submitted
    And 30 seconds pass
    And the log is available again
    And 6 seconds pass
    Then the stream holds records "3"

  Scenario: A record that expired while it waited for a slow append is sent
    Given an appender with a spacing of 0.1 seconds
    And the log answers after 20 seconds
    When 1 records are submitted
    And 1 seconds pass
    And 1 records are submitted that expire after 10 seconds
    And 60 seconds pass
    Then the stream holds records "0"
