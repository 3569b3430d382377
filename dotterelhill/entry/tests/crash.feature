Feature: A fault of the program inside an entry process

  Scenario: A process whose batch slice crashed goes on answering health checks
    Given an entry process whose batch slice raises an error after its start
    When it runs for at most 20 s
    Then it has ended with exit status 5

  Scenario: A gauge with a wrong name ends the process
    Given metrics with a gauge that the table does not know
    When they are flushed by their service twice
    Then the service has not crashed and the error was logged once
