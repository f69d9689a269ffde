package org.snipewind.protocol;

/** A message between peers. */
public sealed interface PeerMessage
        permits BudgetGrant,
                BudgetRequest,
                CancelRequest,
                ExpiryAnswer,
                ExpiryQuery,
                ForwardAnswer,
                ForwardRequest,
                Heartbeat,
                HeartbeatAcknowledgement,
                LeavingTargets,
                LoadAnswer,
                LoadProbe,
                LoadSummary,
                MirrorAnswer,
                MirrorDelta,
                MirrorRequest,
                RecordAnswer,
                RecordFetch,
                RecordPush,
                ReportAnswer,
                RolloutReport,
                TargetReport,
                TargetReportAnswer,
                TermEndAnswer,
                TermEndRequest {}
