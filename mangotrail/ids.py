"""Identifier types."""

from typing import NewType

AccountId = NewType('AccountId', str)
RequestId = NewType('RequestId', str)
JobId = NewType('JobId', str)
WorkerId = NewType('WorkerId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)
EndpointId = NewType('EndpointId', str)
InstanceId = NewType('InstanceId', str)
MemberId = NewType('MemberId', str)
OperationId = NewType('OperationId', str)
ServiceId = NewType('ServiceId', str)
QueueId = NewType('QueueId', str)
LifeId = NewType('LifeId', str)
