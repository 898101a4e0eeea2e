"""Protocol between the processes of greengagefall."""
