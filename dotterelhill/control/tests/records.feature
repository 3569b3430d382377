Feature: The store limits the size of records and of calls

  Background:
    Given processes "a b c" that have run for 3 seconds

  Scenario: Nothing starts any more once the estimates of many images exceed the largest record
    # Guards against LOST of review/1: each write of progress was refused together with the estimates.
    When 2500 pairs of images with names of 100 bytes have run beside each other
    And 5 seconds pass
    And job "j" of 4 tasks is submitted at a process that does not lead
    And 6 seconds pass
    Then every process shows job "j" as "completed"
    And the store has refused no append for its size
    When the leader is killed
    And 4 seconds pass
    Then the next leader knows estimates of the newest images
