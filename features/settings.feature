Feature: Checking settings

  Scenario: Every problem of a settings file is reported at once
    Given an entry settings file with the name missing and port 99999
    When the operator checks it
    Then the exit status is 2
    And the output names "name" and "http.address"
