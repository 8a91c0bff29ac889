/* placeholder replaced by the handover model */
active proctype p() { int x = 0;
#ifdef BROKEN
  assert(x == 1)
#else
  assert(x == 0)
#endif
}
