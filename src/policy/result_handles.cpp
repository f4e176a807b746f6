#include "policy/result_handles.hpp"

namespace bilberryseam::policy {

bool isOfOtherTask(const result_handles& handles, std::string_view handle, uint64_t task)
{
    const auto position = handles.taskByHandle.find(hashOf(handle));
    return position != handles.taskByHandle.end() && position->second != task;
}

void addHandle(result_handles& handles, std::string_view handle, uint64_t task)
{
    const uint64_t hash = hashOf(handle);
    if (!handles.taskByHandle.try_emplace(hash, task).second)
        return;
    handles.order.push_back(hash);
    if (handles.order.size() <= maxResultHandles)
        return;
    handles.taskByHandle.erase(handles.order.front());
    handles.order.pop_front();
}
}
