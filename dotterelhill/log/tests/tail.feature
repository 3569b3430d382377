Feature: The log tail delivers every record once and dates its evidence correctly

  Scenario: The age of evidence is counted from the answer instead of from the request
    Given a tail whose log answers after 2 seconds
    When record "a" is in the stream
    And 5 seconds pass
    Then the newest evidence is between 2 and 4 seconds old

  Scenario: An outage of the log causes a storm of reads
    Given a tail
    When the log becomes unavailable
    And 600 seconds pass
    Then between 120 and 600 reads were sent
    And there was no evidence for at least 590 seconds
    When the log is available again
    And 6 seconds pass
    Then the newest evidence is between 0 and 2 seconds old

  Scenario: A long stream is reported as completely read after the first read
    Given a tail
    When 2500 records are in the stream
    And 1 seconds pass
    Then 3 reads were delivered, complete as "no no yes"
    And 2500 records were delivered in order

  Scenario: Records that were trimmed before they were read are skipped without a report
    Given a tail
    When 10 records are in the stream
    And only the last 4 records are retained
    And 30 seconds pass
    Then the tail reported 7 as the earliest offset, once
    When the tail seeks to offset 7
    And 6 seconds pass
    Then 4 records were delivered in order

  Scenario: A log that lost its last records gives evidence
    Given a tail
    When 10 records are in the stream
    And 1 seconds pass
    And the stream loses its last records and restarts at 5
    And 30 seconds pass
    Then there was no evidence for at least 28 seconds
