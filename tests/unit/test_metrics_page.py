"""Guards against metrics that the page lacks or lists in vain, and against unbounded labels."""

import pathlib
import re
import unittest

from masticward import metrics, settings
from masticward.coordination import agent_metrics, dispatcher, entry_metrics, view
from masticward.daemons import gateway as gateway_daemon
from masticward.daemons import meters
from masticward.platform import headers
from masticward.transport import channels, instance_list, object_api
from tests.lib import gateway_builders, platforms

PAGE = pathlib.Path(__file__).resolve().parents[2] / "docs" / "metrics.md"
FORBIDDEN_LABELS = {"team", "request_id", "instance"}


class MetricsPageTest(unittest.IsolatedAsyncioTestCase):
    async def test_page_and_registry_list_the_same_metrics(self) -> None:
        process_metrics = metrics.ProcessMetrics()
        transport = channels.PeerTransport(
            settings.PeerSecurity(mode=settings.SecurityMode.SHARED_KEY, shared_key="k")
        )
        platform = settings.PlatformSettings(
            object_api_url="http://127.0.0.1:1", instance_list_url="http://127.0.0.1:1"
        )
        fleet_view = view.PlatformFleetView(
            platforms.make_agent("a0"),
            1,
            platform,
            channels.ChannelPool(transport),
            object_api.HttpObjectStore(platform.object_api_url),
            instance_list.HttpInstanceList(platform.instance_list_url),
            watches_object_api=False,
        )
        entry_metrics.EntryMetrics(process_metrics)
        agent_metrics.AgentMetrics(process_metrics)
        meters.register_view(process_metrics, fleet_view)
        meters.register_dispatcher(
            process_metrics,
            dispatcher.Dispatcher(fleet_view, "s", settings.QueuePolicyName.FAIR_SHARE),
        )
        gateway_program = gateway_daemon.GatewayProgram(
            gateway_builders.make_settings(),
            gateway_builders.UnusedStore(),
            headers.HeaderCodec(),
            gateway_builders.make_settings,
        )
        collected = list(gateway_program.metrics.registry.collect()) + list(
            process_metrics.registry.collect()
        )
        registered = {
            metric.name + ("_total" if metric.type == "counter" else "") for metric in collected
        }
        listed = set(re.findall(r"^\| `(masticward_\w+)` \|", PAGE.read_text(), re.MULTILINE))
        self.assertEqual(registered, listed)
        labels = {label for item in collected for sample in item.samples for label in sample.labels}
        self.assertFalse(labels & FORBIDDEN_LABELS)
