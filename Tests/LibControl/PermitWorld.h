#pragma once

#include "FakeRow.h"

#include <algorithm>
#include <array>
#include <LibControl/PermitLedger.h>
#include <rapidcheck.h>
#include <set>

namespace Jujube
{

// A simulated cold target with three gateways and two controllers, for random schedules: reports and VM lists lag, gateways freeze with an old view, die while
// their streams run on and come back under a new incarnation, and a controller may write a revision that it decided on long ago.
class PermitWorld
{
public:
    static constexpr int ColdLimit = 4;

    void advance(int ms)
    {
        m_now += std::chrono::milliseconds(ms);
    }

    // Keeps the present state for reports that lag. Called after each step.
    void keepHistory()
    {
        m_history.push_back({m_now, running(), m_cold});
        m_vmHistory.push_back({m_now, vmList()});
    }

    void ask(size_t who)
    {
        auto &gateway = m_gateways.at(who);
        if (gateway.isFrozen || gateway.slots.size() >= MaxSlotsPerGateway) {
            return;
        }
        auto row = readRow();
        const auto id = "s" + std::to_string(++m_lastId);
        row.slots.push_back({.id = id, .holder = holder(who)});
        writeRow(row);
        gateway.slots[id] = {};
    }

    // The gateway reads the row. Slots that it does not find it may not use any more.
    void refresh(size_t who)
    {
        auto &gateway = m_gateways.at(who);
        if (gateway.isFrozen) {
            return;
        }
        const auto row = readRow();
        for (auto &[id, slot] : gateway.slots) {
            const auto *found = row.find(id);
            slot.isGranted = found && found->state == SlotState::Granted;
        }
    }

    // Starts a stream under each unused slot that the gateway believes to hold, whatever happened since it looked.
    void start(size_t who)
    {
        auto &gateway = m_gateways.at(who);
        for (auto &[id, slot] : gateway.slots) {
            if (!gateway.isFrozen && slot.isGranted) {
                m_streams.insert(id);
            }
        }
    }

    void endStream(size_t index)
    {
        if (m_streams.empty()) {
            return;
        }
        m_streams.erase(std::next(m_streams.begin(), static_cast<std::ptrdiff_t>(index % m_streams.size())));
    }

    void giveBack(size_t who)
    {
        auto &gateway = m_gateways.at(who);
        auto row = readRow();
        if (gateway.isFrozen) {
            return;
        }
        const auto isUnused = [this](const auto &id) { return !m_streams.contains(id); };
        std::erase_if(row.slots, [&](const auto &slot) { return gateway.slots.contains(slot.id) && isUnused(slot.id); });
        std::erase_if(gateway.slots, [&](const auto &slot) { return isUnused(slot.first); });
        writeRow(row);
    }

    void freeze(size_t who)
    {
        m_gateways.at(who).isFrozen = !m_gateways.at(who).isFrozen;
    }

    // The gateway dies; its streams run on. It comes back at once under a new incarnation, or is absent from the VM list first.
    void replace(size_t who, bool isAbsent)
    {
        auto &gateway = m_gateways.at(who);
        gateway = {.incarnation = gateway.incarnation + 1, .isAbsent = isAbsent, .isFrozen = isAbsent};
    }

    void comeBack(size_t who)
    {
        m_gateways.at(who).isAbsent = false;
        m_gateways.at(who).isFrozen = false;
    }

    void turnWarm()
    {
        m_cold = false;
        m_warmWasSeen = false;
    }

    // Work that needed no permit is running when the target turns cold. A controller has seen the warm target before.
    void turnCold(int work)
    {
        if (m_cold || !m_warmWasSeen || !readRow().warm) {
            return;
        }
        m_cold = true;
        for (int i = 0; i < work; ++i) {
            m_streams.insert("w" + std::to_string(++m_lastId));
        }
    }

    // A controller reads everything and decides, but does not write yet.
    void decide(size_t which, int lagMs)
    {
        auto &controller = m_controllers.at(which);
        const auto list = past(m_vmHistory, lagMs);
        controller.census.onVmList(list.vms, m_now);
        const auto state = past(m_history, lagMs);
        const ReportedTarget report {.target = "t", .running = state.running, .cold = state.cold, .readAt = m_now};
        m_warmWasSeen = m_warmWasSeen || (!m_cold && !state.cold);
        const auto read = m_row.read();
        if (read.end == ReadEnd::Found) {
            controller.revision = read.row.revision;
            controller.decision = controller.ledger.revise(*PermitRow::fromText(read.row.value), report, ColdLimit, controller.census, m_now);
        }
    }

    // A controller writes what it decided on, which may be long ago.
    void commit(size_t which)
    {
        auto &controller = m_controllers.at(which);
        if (!controller.decision) {
            return;
        }
        const int before = readRow().heldSlots();
        const auto result = m_row.write(controller.decision->toText(), controller.revision);
        controller.decision.reset();
        if (result.end == WriteEnd::Done && readRow().heldSlots() > before) {
            ++m_grants;
            RC_ASSERT(possibleStreams() <= ColdLimit);
        }
    }

    void beginTerm(size_t which)
    {
        m_controllers.at(which).ledger.clear();
    }

    // Streams that run now, and those that gateways may start without another grant.
    int possibleStreams() const
    {
        auto possible = m_streams;
        const auto row = readRow();
        for (size_t i = 0; i < m_gateways.size(); ++i) {
            for (const auto &slot : row.slots) {
                if (slot.state != SlotState::Asked && slot.holder == holder(i)) {
                    possible.insert(slot.id);
                }
            }
        }
        return static_cast<int>(possible.size());
    }

    int running() const
    {
        return static_cast<int>(m_streams.size());
    }

    int grants() const
    {
        return m_grants;
    }

    PermitRow readRow() const
    {
        const auto read = m_row.read();
        return read.end == ReadEnd::Found ? *PermitRow::fromText(read.row.value) : PermitRow {};
    }

private:
    static constexpr size_t MaxSlotsPerGateway = 3;

    struct Slot {
        bool isGranted = false;
    };

    struct Gateway {
        uint64_t incarnation = 1;
        bool isAbsent = false;
        bool isFrozen = false;
        std::map<std::string, Slot> slots;
    };

    struct Controller {
        PermitLedger ledger {{.settleTime = std::chrono::seconds(3), .maxReportAge = std::chrono::seconds(3)}};
        HolderCensus census {{.missingTime = std::chrono::seconds(10)}};
        std::optional<PermitRow> decision;
        int64_t revision = 0;
    };

    struct TargetState {
        MonotonicTime time;
        int running = 0;
        bool cold = true;
    };

    struct VmListState {
        MonotonicTime time;
        std::vector<Vm> vms;
    };

    PermitHolder holder(size_t who) const
    {
        const auto name = "g" + std::to_string(who);
        return {.name = name, .address = name + ":1", .incarnation = m_gateways.at(who).incarnation};
    }

    std::vector<Vm> vmList() const
    {
        std::vector<Vm> vms {{.name = "other", .address = "other:1"}};
        for (size_t i = 0; i < m_gateways.size(); ++i) {
            if (!m_gateways.at(i).isAbsent) {
                vms.push_back({.name = holder(i).name, .address = holder(i).address, .incarnation = holder(i).incarnation});
            }
        }
        return vms;
    }

    template<typename State>
    State past(const std::vector<State> &history, int lagMs) const
    {
        const auto then = m_now - std::chrono::milliseconds(lagMs);
        const auto found = std::find_if(history.rbegin(), history.rend(), [then](const auto &state) { return state.time <= then; });
        return found == history.rend() ? history.front() : *found;
    }

    void writeRow(const PermitRow &row)
    {
        const auto read = m_row.read();
        m_row.write(row.toText(), read.end == ReadEnd::Found ? read.row.revision : 0);
    }

    MonotonicTime m_now {std::chrono::seconds(1000)};
    bool m_cold = true;
    bool m_warmWasSeen = false;
    std::array<Gateway, 3> m_gateways;
    std::array<Controller, 2> m_controllers;
    // By the id of the slot under which the stream was started.
    std::set<std::string> m_streams;
    FakeRow m_row;
    std::vector<TargetState> m_history {{m_now, 0, true}};
    std::vector<VmListState> m_vmHistory {{m_now, vmList()}};
    int m_lastId = 0;
    int m_grants = 0;
};

} // namespace Jujube
