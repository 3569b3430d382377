Feature: the tail delivers every record once and is honest about its evidence

  Scenario: evidence counts from the answer instead of from before the request
    Given a tail whose log answers after 2 seconds
    When record "a" is in the stream
    And 5 seconds pass
    Then the newest evidence is between 2 and 4 seconds old

  Scenario: a log outage is met with a storm of reads
    Given a tail
    When the log goes down
    And 600 seconds pass
    Then between 120 and 600 reads were sent
    And there was no evidence for at least 590 seconds
    When the log comes back
    And 6 seconds pass
    Then the newest evidence is between 0 and 2 seconds old

  Scenario: a long stream counts as read after its first part
    Given a tail
    When 2500 records are in the stream
    And 1 seconds pass
    Then 3 reads were delivered, complete as "no no yes"
    And 2500 records were delivered in order

  Scenario: a trimmed stream is read with a hole
    Given a tail
    When 10 records are in the stream
    And only 4 records are kept
    And 30 seconds pass
    Then the tail reported that the earliest is 7, once
    When the tail seeks to offset 7
    And 6 seconds pass
    Then 4 records were delivered in order

  Scenario: a log that lost its end gives evidence
    Given a tail
    When 10 records are in the stream
    And 1 seconds pass
    And the stream loses its last records and restarts at 5
    And 30 seconds pass
    Then there was no evidence for at least 28 seconds
