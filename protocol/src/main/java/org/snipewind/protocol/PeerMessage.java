package org.snipewind.protocol;

/** A message between daemons. */
public sealed interface PeerMessage
        permits BudgetGrant,
                BudgetRequest,
                CancelRequest,
                DemandReport,
                ExpiryAnswer,
                ExpiryQuery,
                ForwardAnswer,
                ForwardRequest,
                Heartbeat,
                HeartbeatAcknowledgement,
                LoadAnswer,
                LoadProbe,
                LoanAnswer,
                MirrorAnswer,
                MirrorRequest,
                RecordAnswer,
                RecordFetch,
                RecordPush,
                TargetReport,
                TargetReportAnswer {}
