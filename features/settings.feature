Feature: Validation of settings files

  Scenario: All problems of a settings file are reported together
    Given an entry settings file without a name and with port 99999
    When the operator checks the settings file
    Then the exit status is 2
    And the output reports problems with "name" and "http.address"
